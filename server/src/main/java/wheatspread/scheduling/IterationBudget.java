package wheatspread.scheduling;

/**
 * What one turn of the event loop may spend on new requests.
 *
 * @param mostBytes bytes read from callers
 * @param mostRequests whole requests read
 * @param mostMicros time spent on reading, in microseconds
 * @param lately who used its connection within this time is not taken for a sleeper, in microseconds
 * @param sleepersPart a sleeper is read for so many others, so that a busy server reads sleepers too
 * @param crowd so many sleepers that wait at once are a crowd, see {@link CrowdGate}
 * @param mostExpiring timers, and connections whose limit is over, that a turn deals with
 */
public record IterationBudget(
        int mostBytes, int mostRequests, int mostMicros, long lately, int sleepersPart, int crowd, int mostExpiring) {
    /** What holds unless an operator's file says otherwise. */
    public static final IterationBudget USUAL = new IterationBudget(256 * 1024, 128, 4_000, 5_000_000, 8, 64, 16);
}

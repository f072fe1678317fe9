package wheatspread.scheduling;

/**
 * What one event-loop iteration may spend on new requests.
 *
 * @param maxBytes bytes read from callers
 * @param maxRequests whole requests read
 * @param maxReadMicros time spent on reading
 * @param recentUseMicros a connection that was used within this many microseconds does not count as idle
 * @param readsPerIdleRead one idle connection is read after this many others, so that a busy server reads
 *     idle connections too
 * @param burstThreshold how many idle connections that wait to be read at once make a reconnect burst, see
 *     {@link ReconnectBurstLimiter}
 * @param maxExpirations timers, and connections past a limit, that an iteration deals with
 */
public record IterationBudget(
        int maxBytes,
        int maxRequests,
        int maxReadMicros,
        long recentUseMicros,
        int readsPerIdleRead,
        int burstThreshold,
        int maxExpirations) {
    /** What holds unless the operator's file says otherwise. */
    public static final IterationBudget DEFAULT = new IterationBudget(256 * 1024, 128, 4_000, 5_000_000, 8, 64, 16);
}

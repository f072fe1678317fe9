package wheatspread.membership;

/**
 * How a member observes others. Times are microseconds.
 *
 * @param probePeriodMicros from one probe of a subject to the next
 * @param directTimeoutMicros how long an answer to a probe is waited for before helpers are asked
 * @param probeTimeoutMicros how long a probe takes in all, with those helpers
 * @param helpers how many members are asked to probe indirectly
 * @param minSuspicionMicros timeout of a suspicion with enough confirmations
 * @param maxSuspicionMicros timeout of a suspicion without any
 * @param confirmations other observers' suspicions that make the timeout the shortest; 0 for one timeout, as in SWIM
 * @param maxHealthScore the worst local health score: waits grow to one more than that many times; 0 for not at all
 * @param lateTurnMicros a turn that is this late counts against the member's own health
 */
public record DetectorSettings(
        long probePeriodMicros,
        long directTimeoutMicros,
        long probeTimeoutMicros,
        int helpers,
        long minSuspicionMicros,
        long maxSuspicionMicros,
        int confirmations,
        int maxHealthScore,
        long lateTurnMicros) {
    /** What the server uses: a member that crashes is reported by all its observers after some 2 to 3 s. */
    public static final DetectorSettings DEFAULT =
            new DetectorSettings(1_000_000, 300_000, 700_000, 3, 1_000_000, 3_000_000, 3, 8, 200_000);

    /** Checks that the timeouts are in order. */
    public DetectorSettings {
        boolean probeTimesInOrder = 0 < directTimeoutMicros
                && directTimeoutMicros <= probeTimeoutMicros
                && probeTimeoutMicros <= probePeriodMicros;
        boolean suspicionTimesInOrder = 0 <= minSuspicionMicros && minSuspicionMicros <= maxSuspicionMicros;
        if (!probeTimesInOrder
                || !suspicionTimesInOrder
                || confirmations < 0
                || maxHealthScore < 0
                || lateTurnMicros <= 0) {
            throw new IllegalArgumentException("timeouts out of order, or a count below 0: " + this);
        }
    }

    /** SWIM without suspicions: the first probe that fails is reported. */
    public DetectorSettings withoutSuspicion() {
        return new DetectorSettings(
                probePeriodMicros, directTimeoutMicros, probeTimeoutMicros, helpers, 0, 0, 0, 0, Long.MAX_VALUE);
    }

    /** SWIM with suspicions of one timeout, and without local health. */
    public DetectorSettings withFixedSuspicion() {
        return new DetectorSettings(
                probePeriodMicros,
                directTimeoutMicros,
                probeTimeoutMicros,
                helpers,
                maxSuspicionMicros,
                maxSuspicionMicros,
                0,
                0,
                Long.MAX_VALUE);
    }
}

package wheatspread.membership;

/**
 * The settings of failure detection. Times are microseconds.
 *
 * @param probePeriodMicros interval between the probes of a subject
 * @param directTimeoutMicros time to wait for the answer to a probe before indirect pings are sent to helpers
 * @param probeTimeoutMicros timeout of a whole probe, with the indirect pings
 * @param helperCount number of members that receive an indirect ping
 * @param minSuspicionMicros timeout of a suspicion with {@code requiredConfirmations}
 * @param maxSuspicionMicros timeout of a suspicion without confirmations
 * @param requiredConfirmations number of other observers' suspicions at which the timeout is the shortest; 0 for a
 *     fixed timeout, as in SWIM
 * @param maxHealthScore highest (worst) local health score; timeouts are multiplied by up to this value plus one; 0
 *     turns local health off
 * @param lateTurnMicros a turn that runs this late worsens the member's local health score
 */
public record DetectorSettings(
        long probePeriodMicros,
        long directTimeoutMicros,
        long probeTimeoutMicros,
        int helperCount,
        long minSuspicionMicros,
        long maxSuspicionMicros,
        int requiredConfirmations,
        int maxHealthScore,
        long lateTurnMicros) {
    /** The settings of the server, with which all observers report a crashed member after about 2 to 3 s. */
    public static final DetectorSettings DEFAULT =
            new DetectorSettings(1_000_000, 300_000, 700_000, 3, 1_000_000, 3_000_000, 3, 8, 200_000);

    /**
     * Checks the settings.
     *
     * @throws IllegalArgumentException if a timeout is not in the order that the parameters require, or a count is
     *     negative
     */
    public DetectorSettings {
        boolean probeTimesInOrder = 0 < directTimeoutMicros
                && directTimeoutMicros <= probeTimeoutMicros
                && probeTimeoutMicros <= probePeriodMicros;
        boolean suspicionTimesInOrder = 0 <= minSuspicionMicros && minSuspicionMicros <= maxSuspicionMicros;
        if (!probeTimesInOrder
                || !suspicionTimesInOrder
                || requiredConfirmations < 0
                || maxHealthScore < 0
                || lateTurnMicros <= 0) {
            throw new IllegalArgumentException(
                    "expected 0 < directTimeoutMicros <= probeTimeoutMicros <= probePeriodMicros,"
                            + " 0 <= minSuspicionMicros <= maxSuspicionMicros, counts of at least 0"
                            + " and lateTurnMicros above 0, found " + this);
        }
    }

    /** Returns settings for SWIM without suspicions: the first failed probe leads to a report. */
    public DetectorSettings withoutSuspicion() {
        return new DetectorSettings(
                probePeriodMicros, directTimeoutMicros, probeTimeoutMicros, helperCount, 0, 0, 0, 0, Long.MAX_VALUE);
    }

    /** Returns settings for SWIM with a fixed suspicion timeout and without local health. */
    public DetectorSettings withFixedSuspicion() {
        return new DetectorSettings(
                probePeriodMicros,
                directTimeoutMicros,
                probeTimeoutMicros,
                helperCount,
                maxSuspicionMicros,
                maxSuspicionMicros,
                0,
                0,
                Long.MAX_VALUE);
    }
}

package wheatspread.membership;

/**
 * How a member watches others. Times are microseconds.
 *
 * @param period from one probe of a subject to the next
 * @param direct how long the answer to a probe is waited for before others are asked to probe
 * @param whole how long a probe takes in all, with those others
 * @param helpers how many others are asked
 * @param leastSuspicion how long a suspicion lasts that enough others share
 * @param mostSuspicion how long one lasts that nobody shares
 * @param confirmations so many others' suspicions make one as short as it may be; 0 for one length, as in
 *     SWIM
 * @param worstHealth how much a member may distrust itself: its waits grow to one more than that many times;
 *     0 for not at all
 * @param lateTurn a turn that comes this late counts against the member's own health
 */
public record DetectorSettings(
        long period,
        long direct,
        long whole,
        int helpers,
        long leastSuspicion,
        long mostSuspicion,
        int confirmations,
        int worstHealth,
        long lateTurn) {
    /** Somebody who ends is reported by all its watchers after some 2 to 3 s. */
    public static final DetectorSettings USUAL =
            new DetectorSettings(1_000_000, 300_000, 700_000, 3, 1_000_000, 3_000_000, 3, 8, 200_000);

    public DetectorSettings {
        if (!(0 < direct
                && direct <= whole
                && whole <= period
                && 0 <= leastSuspicion
                && leastSuspicion <= mostSuspicion
                && confirmations >= 0
                && worstHealth >= 0
                && lateTurn > 0)) {
            throw new IllegalArgumentException(
                    "direct <= whole <= period and leastSuspicion <= " + "mostSuspicion: " + this);
        }
    }

    /** SWIM without suspicion: the first probe that fails is a report. */
    public DetectorSettings plain() {
        return new DetectorSettings(period, direct, whole, helpers, 0, 0, 0, 0, Long.MAX_VALUE);
    }

    /** SWIM with suspicions of one length, and trust in oneself. */
    public DetectorSettings suspicious() {
        return new DetectorSettings(period, direct, whole, helpers, mostSuspicion, mostSuspicion, 0, 0, Long.MAX_VALUE);
    }
}

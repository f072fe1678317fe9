package wheatspread.membership;

/**
 * Lifeguard's local health multiplier (A. Dadgar and others, 2018): a member whose turns run late, whose probes fail
 * while no helper answers either, or that is itself reported down, is likely to be at fault, and waits longer before
 * it suspects others.
 */
final class LocalHealth {
    private final DetectorSettings settings;
    /** 0 in good health, {@link DetectorSettings#maxHealthScore} at worst. */
    private int score;

    LocalHealth(DetectorSettings settings) {
        this.settings = settings;
    }

    /** How many times as long as usual this member waits; 1 in good health. */
    int multiplier() {
        return score + 1;
    }

    /** A turn came late by that time; returns whether that is so late that this process was suspended. */
    boolean onLateTurn(long lateMicros) {
        if (lateMicros < settings.lateTurnMicros()) {
            return false;
        }
        worsen((int) Math.min(settings.maxHealthScore(), 1 + lateMicros / settings.probeTimeoutMicros()));
        return true;
    }

    /** A probe was answered. */
    void onProbeAnswered() {
        score = Math.max(0, score - 1);
    }

    /**
     * A probe failed. Where helpers were asked and none sent a nack, this member may be the one that is not reached.
     * Lifeguard counts each silent helper; here they count once, since a member beside a partitioned zone asks many
     * that can't answer, and would be far too slow to report them.
     */
    void onProbeFailed(int helpersAsked, int nacksReceived) {
        boolean noHelperAnswered = helpersAsked > 0 && nacksReceived == 0;
        worsen(noHelperAnswered ? 1 : 0);
    }

    /** Another member reported this one down. */
    void onReported() {
        worsen(1);
    }

    private void worsen(int by) {
        score = Math.min(settings.maxHealthScore(), score + by);
    }
}

package wheatspread.membership;

/**
 * Lifeguard's local health multiplier (A. Dadgar and others, 2018). A member is likely to be faulty if its turns run
 * late, if its probes fail and no helper answers, or if other members report it down. Such a member uses longer
 * timeouts before it suspects others.
 */
final class LocalHealth {
    private final DetectorSettings settings;
    /** The health score, from 0 for good health to {@link DetectorSettings#maxHealthScore}. */
    private int score;

    LocalHealth(DetectorSettings settings) {
        this.settings = settings;
    }

    /** Returns the factor by which this member multiplies its timeouts; 1 in good health. */
    int multiplier() {
        return score + 1;
    }

    /** Records how late a turn ran; returns whether the process counts as having been suspended. */
    boolean onLateTurn(long lateMicros) {
        if (lateMicros < settings.lateTurnMicros()) {
            return false;
        }
        worsen((int) Math.min(settings.maxHealthScore(), 1 + lateMicros / settings.probeTimeoutMicros()));
        return true;
    }

    /** Improves the score by one point. */
    void onProbeAnswered() {
        score = Math.max(0, score - 1);
    }

    /**
     * Records a failed probe. If helpers were requested and none sent a nack, this member itself may be unreachable.
     * Lifeguard counts each silent helper. Here all silent helpers count as one, since a member outside of a
     * partitioned zone uses many helpers in that zone, and would report their failures much too late.
     */
    void onProbeFailed(int helpersRequested, int nacksReceived) {
        boolean noHelperAnswered = helpersRequested > 0 && nacksReceived == 0;
        worsen(noHelperAnswered ? 1 : 0);
    }

    /** Records that another member reported this member down. */
    void onReported() {
        worsen(1);
    }

    private void worsen(int points) {
        score = Math.min(settings.maxHealthScore(), score + points);
    }
}

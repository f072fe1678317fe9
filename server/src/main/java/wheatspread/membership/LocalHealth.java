package wheatspread.membership;

/**
 * How far a member trusts itself to judge others (A. Dadgar and others, "Lifeguard", 2018): a member whose
 * turns run late, whose probes fail while none of those asked for help says anything, or who has to refute
 * that it is gone, waits longer before it accuses. It reads no clock; times are microseconds.
 */
final class LocalHealth {
    private final DetectorSettings settings;
    private int score;

    LocalHealth(DetectorSettings settings) {
        this.settings = settings;
    }

    /** How many times as long as usual this member waits; 1 for one in good health. */
    int multiplier() {
        return score + 1;
    }

    /** A turn came so much later than it was due; returns whether that was a stop, and not a turn. */
    boolean onLateTurn(long late) {
        if (late < settings.lateTurn()) {
            return false;
        }
        worse((int) Math.min(settings.worstHealth(), 1 + late / settings.whole()));
        return true;
    }

    /** A probe was answered in time. */
    void onProbeAnswered() {
        score = Math.max(0, score - 1);
    }

    /**
     * A probe failed, and of those asked for help so many said that it failed for them too. Where none said
     * anything, it may be this member that is not heard. Lifeguard counts each silent one; a member beside a
     * zone that is cut off then asks many who can't answer, and would wait nine times as long to say so.
     */
    void onProbeFailed(int asked, int said) {
        worse(asked > 0 && said == 0 ? 1 : 0);
    }

    /** Somebody took this member for gone. */
    void onReported() {
        worse(1);
    }

    private void worse(int by) {
        score = Math.min(settings.worstHealth(), score + by);
    }
}

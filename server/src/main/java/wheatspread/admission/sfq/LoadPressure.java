package wheatspread.admission.sfq;

import wheatspread.admission.LoadFeedbackMode;

/**
 * How far the server is from its bounds: the largest of held-queue fill, read delay and, where clients follow a
 * priority threshold, the share of rejected requests, each over the value that counts as a pressure of 1.
 */
final class LoadPressure {
    /** Fill of the held queue that counts as a pressure of 1. */
    private static final double ELEVATED_FILL = 0.6;
    /** Share of rejected requests that counts as a pressure of 1. */
    private static final double ELEVATED_REJECTED_SHARE = 0.25;
    /** Smoothing of the share of rejected requests, per request. */
    private static final double REJECTED_SHARE_GAIN = 0.05;

    private final ReloadableSettings settings;
    private final HeldQueueBound heldQueueBound;
    private final OverloadDetector overload;
    private double rejectedShare;

    LoadPressure(ReloadableSettings settings, HeldQueueBound heldQueueBound, OverloadDetector overload) {
        this.settings = settings;
        this.heldQueueBound = heldQueueBound;
        this.overload = overload;
    }

    void recordStart() {
        rejectedShare += REJECTED_SHARE_GAIN * (0 - rejectedShare);
    }

    void recordRejection() {
        rejectedShare += REJECTED_SHARE_GAIN * (1 - rejectedShare);
    }

    boolean isHigh() {
        return value() > 1;
    }

    /** The pressure; above 1 it is high. */
    double value() {
        double waiting = Math.max(
                heldQueueBound.fill() / ELEVATED_FILL, overload.readDelay() / OverloadDetector.ELEVATED_READ_DELAY);
        boolean byThreshold = settings.current().clients().feedbackMode() == LoadFeedbackMode.THRESHOLD;
        return byThreshold ? Math.max(waiting, rejectedShare / ELEVATED_REJECTED_SHARE) : waiting;
    }
}

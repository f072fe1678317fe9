package wheatspread.admission.sfq;

import wheatspread.admission.LoadFeedbackMode;

/**
 * The load pressure: how close the server is to its bounds. It is the maximum of the held-queue fill, the read delay
 * and, if clients follow a priority threshold, the share of rejected requests, each divided by the value that counts as
 * a pressure of 1.
 */
final class LoadPressure {
    /** Fill of the held queue that counts as a pressure of 1. */
    private static final double ELEVATED_FILL_RATIO = 0.6;
    /** Share of rejected requests that counts as a pressure of 1. */
    private static final double ELEVATED_REJECTED_SHARE = 0.25;
    /** Smoothing gain of the share of rejected requests, per request. */
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

    /** Returns the pressure; a value above 1 is high. */
    double value() {
        double delayPressure = Math.max(
                heldQueueBound.fillRatio() / ELEVATED_FILL_RATIO,
                overload.readDelayShare() / OverloadDetector.ELEVATED_READ_DELAY_SHARE);
        boolean countsRejections = settings.current().clients().feedbackMode() == LoadFeedbackMode.THRESHOLD;
        return countsRejections ? Math.max(delayPressure, rejectedShare / ELEVATED_REJECTED_SHARE) : delayPressure;
    }
}

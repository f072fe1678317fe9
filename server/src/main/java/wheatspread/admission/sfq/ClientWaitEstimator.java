package wheatspread.admission.sfq;

import java.util.Arrays;
import wheatspread.admission.AdmissionRequest;
import wheatspread.admission.RequestClass;

/**
 * Estimates how long the client of a marked retry has waited for its earlier attempts, so that the latency objective
 * counts from the first attempt. Running requests whose client's objective has already passed would feed retry storms.
 *
 * <p>The estimator assumes that all first attempts of a class have the same timeout, as a share of the class's
 * deadline. If the timeout of a retry is longer than that timeout, or if first attempts get the whole deadline, the
 * retry's wait is the deadline minus the retry's timeout. For every other retry the estimator returns the mean of these
 * waits. The wait of clients that retry quickly may be overestimated.
 */
final class ClientWaitEstimator {
    /** Wait assumed for a retry without a timeout, as a share of its class's latency objective. */
    private static final double DEFAULT_WAIT_SHARE = 0.7;
    /** Difference below which two shares of a deadline count as equal. */
    private static final double SHARE_TOLERANCE = 0.02;

    private final ReloadableSettings settings;
    /** Maximum timeout of first attempts, as a share of the deadline, by request class. */
    private double[] maxFirstTimeoutShare;
    /** Mean timeout of first attempts, as a share of the deadline, by request class. */
    private double[] meanFirstTimeoutShare;

    private double meanWaitMicros;

    ClientWaitEstimator(ReloadableSettings settings) {
        this.settings = settings;
        maxFirstTimeoutShare = new double[settings.classCount()];
        meanFirstTimeoutShare = new double[settings.classCount()];
    }

    /** Extends the per-class estimates after a reload has added request classes. */
    void resizeClasses(int classCount) {
        maxFirstTimeoutShare = Arrays.copyOf(maxFirstTimeoutShare, classCount);
        meanFirstTimeoutShare = Arrays.copyOf(meanFirstTimeoutShare, classCount);
    }

    /**
     * Updates the estimates with an arrival and returns how long its client has waited for earlier attempts, in
     * microseconds; 0 for a first attempt.
     */
    long recordArrival(AdmissionRequest request, RequestClass requestClass) {
        if (request.timeoutMicros() <= 0 && request.retry()) {
            return (long) (DEFAULT_WAIT_SHARE * requestClass.latencyObjectiveMicros());
        }
        if (request.timeoutMicros() <= settings.answerMarginMicros()) {
            return 0;
        }
        int index = request.requestClass();
        double timeoutShare = (double) (request.timeoutMicros() + request.ageMicros()) / requestClass.deadlineMicros();
        if (!request.retry()) {
            maxFirstTimeoutShare[index] = Math.max(maxFirstTimeoutShare[index], timeoutShare);
            meanFirstTimeoutShare[index] = RunningMean.update(meanFirstTimeoutShare[index], timeoutShare);
            return 0;
        }
        return retryWaitMicros(index, timeoutShare, requestClass.deadlineMicros());
    }

    private long retryWaitMicros(int index, double timeoutShare, long deadlineMicros) {
        double maxWaitMicros = deadlineMicros * Math.max(0, 1 - timeoutShare);
        double meanFirstShare = meanFirstTimeoutShare[index];
        boolean longerThanFirst = meanFirstShare > 0 && timeoutShare > maxFirstTimeoutShare[index] + SHARE_TOLERANCE;
        if (longerThanFirst || meanFirstShare > 1 - SHARE_TOLERANCE) {
            meanWaitMicros = RunningMean.update(meanWaitMicros, maxWaitMicros);
            return (long) maxWaitMicros;
        }
        return (long) Math.min(meanWaitMicros, maxWaitMicros);
    }
}

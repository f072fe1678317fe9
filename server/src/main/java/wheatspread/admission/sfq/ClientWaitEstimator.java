package wheatspread.admission.sfq;

import java.util.Arrays;
import wheatspread.admission.AdmissionRequest;
import wheatspread.admission.RequestClass;

/**
 * How long the client of a marked retry has waited for earlier attempts, so that its latency objective counts from
 * the first one: runs for clients whose objective has passed feed retry storms. First attempts of a class are taken
 * to get one timeout, as a share of the class's deadline. A retry with more time left than that, or any retry where
 * first attempts get the whole deadline, shows the wait; other retries get the mean of the waits seen. Clients that
 * repeat quickly may be taken to have waited longer than they did.
 */
final class ClientWaitEstimator {
    /** The wait of a retry without a timeout, as a share of its class's latency objective. */
    private static final double DEFAULT_WAIT_SHARE = 0.7;
    /** Shares of a deadline that differ by less count as equal. */
    private static final double SHARE_TOLERANCE = 0.02;

    private final ReloadableSettings settings;
    /** By class: the largest timeout of first attempts, as a share of the deadline. */
    private double[] maxFirstTimeoutShare;
    /** By class: the mean timeout of first attempts, as a share of the deadline. */
    private double[] meanFirstTimeoutShare;

    private double meanWaitMicros;

    ClientWaitEstimator(ReloadableSettings settings) {
        this.settings = settings;
        maxFirstTimeoutShare = new double[settings.classCount()];
        meanFirstTimeoutShare = new double[settings.classCount()];
    }

    /** Makes room for classes that a reload added. */
    void resizeClasses(int classCount) {
        maxFirstTimeoutShare = Arrays.copyOf(maxFirstTimeoutShare, classCount);
        meanFirstTimeoutShare = Arrays.copyOf(meanFirstTimeoutShare, classCount);
    }

    /** Learns from an arrival and returns how long its client waited before; 0 for a first attempt. */
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
        double meanFirst = meanFirstTimeoutShare[index];
        boolean longerThanFirst = meanFirst > 0 && timeoutShare > maxFirstTimeoutShare[index] + SHARE_TOLERANCE;
        if (longerThanFirst || meanFirst > 1 - SHARE_TOLERANCE) {
            meanWaitMicros = RunningMean.update(meanWaitMicros, maxWaitMicros);
            return (long) maxWaitMicros;
        }
        return (long) Math.min(meanWaitMicros, maxWaitMicros);
    }
}

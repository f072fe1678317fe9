package wheatspread.admission.sfq;

/**
 * The bound on held requests: the expected time to start all of them stays under a share of the mean time that they
 * have left for waiting, which is the time from arrival to objective less the mean service time of their class.
 */
final class HeldQueueBound {
    /** Largest drain time, as a share of the mean time left for waiting. */
    private static final double MAX_DRAIN_SHARE = 0.6;
    /** Smallest bound on the drain time. */
    private static final double MIN_DRAIN_MICROS = 1;

    private final InFlightRequests inFlight;
    private final ServiceTimeEstimator serviceTimes;
    private final ConcurrencyLimit concurrency;

    HeldQueueBound(InFlightRequests inFlight, ServiceTimeEstimator serviceTimes, ConcurrencyLimit concurrency) {
        this.inFlight = inFlight;
        this.serviceTimes = serviceTimes;
        this.concurrency = concurrency;
    }

    /**
     * The expected drain time over its bound; above 1 a held request is shed. The newest one does not count, which
     * rounds the bound up to a whole request: with few cores, one request is a large part of it.
     */
    double fill() {
        int held = inFlight.held();
        if (held == 0) {
            return 0;
        }
        double waitingMicros = inFlight.heldObjectiveMicros();
        for (int index = 0; index < inFlight.classCount(); index++) {
            waitingMicros -= inFlight.heldOfClass(index) * serviceTimes.meanElapsedMicros(index);
        }
        double boundMicros = Math.max(MIN_DRAIN_MICROS, MAX_DRAIN_SHARE * waitingMicros / held);
        return (held - 1) * serviceTimes.slotMicros() / concurrency.depth() / boundMicros;
    }

    boolean isExceeded() {
        return fill() > 1;
    }
}

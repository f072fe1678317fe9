package wheatspread.admission.sfq;

/**
 * The bound on held requests: the expected time to start all of them must stay below a share of the mean time that they
 * can wait, which is the time from arrival to latency objective minus the mean service time of their class.
 */
final class HeldQueueBound {
    /** Maximum drain time of the queue, as a share of the mean time that held requests can wait. */
    private static final double MAX_DRAIN_SHARE = 0.6;
    /** Minimum bound on the drain time. */
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
     * Returns the expected drain time over its bound; above 1 a held request is shed. The newest request is not
     * counted, which rounds the bound up to a whole request: with few cores, one request is a large part of the bound.
     */
    double fillRatio() {
        int held = inFlight.heldCount();
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
        return fillRatio() > 1;
    }
}

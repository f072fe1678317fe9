package wheatspread.admission.sfq;

import wheatspread.admission.AdmissionController.Actions;

/**
 * Detects that the server reads requests too late: their mean age when they are read, as a share of the latency
 * objective of their class, lies above a high watermark, until it falls under a low one. All the cores' work then goes
 * into requests whose clients soon give up and retry, which keeps the backlog of unread requests from ending.
 */
final class OverloadDetector {
    /** Read delay, as a share of the objective, above which the server counts as slowed down. */
    static final double ELEVATED_READ_DELAY = 0.1;
    /** Read delay, as a share of the objective, at which the server becomes overloaded. */
    static final double OVERLOAD_READ_DELAY = 0.35;
    /** Read delay, as a share of the objective, under which an overload ends. */
    private static final double RECOVERED_READ_DELAY = 0.15;
    /** Smoothing of the read delay, per request. */
    private static final double READ_DELAY_GAIN = 0.2;
    /** Decay of the read delay, per tick without requests. */
    private static final double IDLE_DECAY = 0.05;

    private final DecisionClock clock;
    private double readDelay;
    private boolean overloaded;

    OverloadDetector(DecisionClock clock) {
        this.clock = clock;
    }

    void recordArrival(TrackedRequest tracked) {
        long waitedMicros = clock.ageWithoutStallMicros(tracked.request.ageMicros());
        double observed = (double) waitedMicros / tracked.requestClass.latencyObjectiveMicros();
        readDelay += READ_DELAY_GAIN * (observed - readDelay);
    }

    /** A tick passed without any arrival. */
    void onIdleTick() {
        readDelay -= IDLE_DECAY * readDelay;
    }

    void update(Actions actions) {
        boolean before = overloaded;
        overloaded = readDelay > (overloaded ? RECOVERED_READ_DELAY : OVERLOAD_READ_DELAY);
        if (before != overloaded) {
            actions.log(overloaded ? "jam of unread tries begins" : "jam of unread tries ends");
        }
    }

    boolean isOverloaded() {
        return overloaded;
    }

    /** The smoothed age of requests when they are read, as a share of their class's latency objective. */
    double readDelay() {
        return readDelay;
    }

    boolean isReadDelayElevated() {
        return readDelay > ELEVATED_READ_DELAY;
    }
}

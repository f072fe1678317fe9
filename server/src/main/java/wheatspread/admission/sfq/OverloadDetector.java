package wheatspread.admission.sfq;

import wheatspread.admission.AdmissionController.Actions;

/**
 * Detects that the server reads requests too late. The read delay is the mean age of requests when they are read, as a
 * share of their class's latency objective. An overload begins when the read delay rises above a high watermark, and
 * ends when the read delay has fallen to a low watermark. During an overload the cores work for requests whose clients
 * soon give up and retry, which keeps the backlog of unread requests from shrinking.
 */
final class OverloadDetector {
    /** Read delay, as a share of the latency objective, above which the server counts as slowed down. */
    static final double ELEVATED_READ_DELAY_SHARE = 0.1;
    /** Read delay, as a share of the latency objective, above which an overload begins. */
    static final double OVERLOAD_READ_DELAY_SHARE = 0.35;
    /** Read delay, as a share of the latency objective, at or below which an overload ends. */
    private static final double RECOVERED_READ_DELAY_SHARE = 0.15;
    /** Smoothing gain of the read delay, per request. */
    private static final double READ_DELAY_GAIN = 0.2;
    /** Decay of the read delay, per tick without arrivals. */
    private static final double IDLE_DECAY = 0.05;

    private final DecisionClock clock;
    private double readDelayShare;
    private boolean overloaded;

    OverloadDetector(DecisionClock clock) {
        this.clock = clock;
    }

    void recordArrival(TrackedRequest tracked) {
        long unreadMicros = clock.ageWithoutStallMicros(tracked.request.ageMicros());
        double observedShare = (double) unreadMicros / tracked.requestClass.latencyObjectiveMicros();
        readDelayShare += READ_DELAY_GAIN * (observedShare - readDelayShare);
    }

    /** Decays the read delay after a tick without arrivals. */
    void onIdleTick() {
        readDelayShare -= IDLE_DECAY * readDelayShare;
    }

    void update(Actions actions) {
        boolean wasOverloaded = overloaded;
        overloaded = readDelayShare > (overloaded ? RECOVERED_READ_DELAY_SHARE : OVERLOAD_READ_DELAY_SHARE);
        if (wasOverloaded != overloaded) {
            actions.log(overloaded ? "jam of unread tries begins" : "jam of unread tries ends");
        }
    }

    boolean isOverloaded() {
        return overloaded;
    }

    /** Returns the smoothed age of requests when they are read, as a share of their class's latency objective. */
    double readDelayShare() {
        return readDelayShare;
    }

    boolean isReadDelayElevated() {
        return readDelayShare > ELEVATED_READ_DELAY_SHARE;
    }
}

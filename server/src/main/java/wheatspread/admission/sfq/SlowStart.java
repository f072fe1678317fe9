package wheatspread.admission.sfq;

import wheatspread.admission.ServerLimits;

/**
 * The least speed that a server has while it warms up, as a share of its full speed, and the concurrency that it
 * survives at that speed. The speed rises linearly from the configured floor to 1 over the configured warm-up time.
 */
final class SlowStart {
    /** Keeps divisions by the speed finite where the configured floor is 0. */
    private static final double MIN_SPEED = 0.01;

    private final ReloadableSettings settings;
    private final DecisionClock clock;

    SlowStart(ReloadableSettings settings, DecisionClock clock) {
        this.settings = settings;
        this.clock = clock;
    }

    /** The least share of its full speed that the server has by now. */
    double guaranteedSpeed() {
        ServerLimits limits = settings.limits();
        long now = clock.nowMicros();
        double warmed = settings.current().cold() && now < clock.startedMicros() + limits.warmUpMicros()
                ? (double) (now - clock.startedMicros()) / limits.warmUpMicros()
                : 1;
        return Math.max(MIN_SPEED, limits.coldSpeedFloor() + (1 - limits.coldSpeedFloor()) * warmed);
    }

    /** Requests on the cores that the server survives: one a core when cold, the overload multiple when warm. */
    double survivableRequests() {
        return settings.cores() * (1 + (settings.limits().overloadMultiple() - 1) * guaranteedSpeed());
    }
}

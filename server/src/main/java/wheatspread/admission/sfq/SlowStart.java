package wheatspread.admission.sfq;

import wheatspread.admission.ServerLimits;

/**
 * The guaranteed speed of a server during its warm-up, as a share of its full speed, and the number of requests that
 * the server can run without overload at that speed. The speed rises linearly from the configured floor to 1 over the
 * configured warm-up time.
 */
final class SlowStart {
    /** Lower bound on the speed; keeps divisions by the speed finite if the configured floor is 0. */
    private static final double MIN_SPEED = 0.01;

    private final ReloadableSettings settings;
    private final DecisionClock clock;

    SlowStart(ReloadableSettings settings, DecisionClock clock) {
        this.settings = settings;
        this.clock = clock;
    }

    /** Returns the minimum share of its full speed that the server has at the time of this batch. */
    double guaranteedSpeed() {
        ServerLimits limits = settings.limits();
        long nowMicros = clock.nowMicros();
        double warmedShare =
                settings.current().startsCold() && nowMicros < clock.startedMicros() + limits.warmUpMicros()
                        ? (double) (nowMicros - clock.startedMicros()) / limits.warmUpMicros()
                        : 1;
        return Math.max(MIN_SPEED, limits.coldSpeedFloor() + (1 - limits.coldSpeedFloor()) * warmedShare);
    }

    /**
     * Returns the number of running requests that the server can run without overload: one per core when cold, the
     * overload multiple per core when warm.
     */
    double sustainableRequests() {
        return settings.coreCount() * (1 + (settings.limits().overloadMultiple() - 1) * guaranteedSpeed());
    }
}

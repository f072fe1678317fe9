package wheatspread.fleet;

/** Detects instances that have exceeded a time limit of the {@link FleetPlan} and must be killed. */
final class InstanceTimeouts {
    private final FleetPlan plan;

    InstanceTimeouts(FleetPlan plan) {
        this.plan = plan;
    }

    /** Returns whether the process of an unconfirmed start has failed to take its lock in time. */
    static boolean isStartConfirmationOverdue(FleetInstance instance, long nowMicros) {
        return instance.startUnconfirmedUntilMicros > 0 && nowMicros >= instance.startUnconfirmedUntilMicros;
    }

    /** Returns why an instance must be killed; null if it must not. */
    String killReason(FleetInstance instance, long nowMicros) {
        return switch (instance.state) {
            case STARTING ->
                nowMicros - instance.startedAtMicros > plan.startTimeoutMicros()
                        ? "not healthy within the start timeout"
                        : null;
            case DRAINING ->
                instance.inStateMicros(nowMicros) > plan.stopTimeoutMicros()
                        ? "not exited within the stop timeout after SIGTERM"
                        : null;
            case HEALTHY, UNHEALTHY ->
                isUnresponsive(instance, nowMicros) ? "no health check answered within the unresponsive timeout" : null;
            default -> null;
        };
    }

    private boolean isUnresponsive(FleetInstance instance, long nowMicros) {
        return plan.unresponsiveTimeoutMicros() > 0
                && instance.sinceLastAnswerMicros(nowMicros) > plan.unresponsiveTimeoutMicros();
    }
}

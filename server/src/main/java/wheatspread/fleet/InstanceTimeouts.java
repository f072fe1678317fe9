package wheatspread.fleet;

/** Which instances have used up a time limit of the {@link FleetPlan} and are to be killed. */
final class InstanceTimeouts {
    private final FleetPlan plan;

    InstanceTimeouts(FleetPlan plan) {
        this.plan = plan;
    }

    /** Whether the process of a start that may not have been carried out has not taken its lock in time. */
    static boolean startUnconfirmed(FleetInstance instance, long nowMicros) {
        return instance.startUnconfirmedUntilMicros > 0 && nowMicros >= instance.startUnconfirmedUntilMicros;
    }

    /** Why an instance is to be killed; null if it is not. */
    String killReason(FleetInstance instance, long nowMicros) {
        return switch (instance.state) {
            case STARTING ->
                nowMicros - instance.startedAtMicros > plan.startTimeoutMicros() ? "not well in time" : null;
            case DRAINING ->
                instance.inStateMicros(nowMicros) > plan.stopTimeoutMicros()
                        ? "still there after its time to leave"
                        : null;
            case HEALTHY, UNHEALTHY -> isUnresponsive(instance, nowMicros) ? "answers no check" : null;
            default -> null;
        };
    }

    private boolean isUnresponsive(FleetInstance instance, long nowMicros) {
        return plan.unresponsiveTimeoutMicros() > 0
                && instance.silentMicros(nowMicros) > plan.unresponsiveTimeoutMicros();
    }
}

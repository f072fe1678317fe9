package wheatspread.fleet;

import java.util.List;
import java.util.Map;

/**
 * The state that a supervisor saves before it carries out actions, so that the next supervisor can continue. Times are
 * Unix microseconds.
 *
 * @param rollout the last rollout; null if there has been none
 * @param shuttingDown whether the fleet is being shut down
 */
public record FleetState(List<InstanceRecord> instances, RolloutRecord rollout, boolean shuttingDown) {
    /** Returns a copy of the current state of a fleet; {@code rollout} is null if there has been none. */
    static FleetState of(InstanceTable instances, RestartBackoff backoff, Rollout rollout, boolean shuttingDown) {
        List<InstanceRecord> records = instances.all().stream()
                .map(instance -> InstanceRecord.of(instance, backoff.historyOf(instance.name)))
                .toList();
        return new FleetState(records, rollout == null ? null : rollout.toRecord(), shuttingDown);
    }

    /**
     * One instance with the history of its exits. The fields are those of {@link FleetInstance} and
     * {@link RestartBackoff}.
     *
     * @param heldUntilMicros the end of the hold because of a crash loop; -1 if the instance is not held
     */
    public record InstanceRecord(
            String name,
            FleetInstance.State state,
            boolean shouldRun,
            String build,
            int generation,
            long pid,
            long stateSinceMicros,
            long startedAtMicros,
            long firstHealthyAtMicros,
            List<Long> exitTimesMicros,
            int consecutiveExits,
            long nextStartMicros,
            long heldUntilMicros) {

        private static InstanceRecord of(FleetInstance instance, RestartBackoff.ExitHistory history) {
            return new InstanceRecord(
                    instance.name,
                    instance.state,
                    instance.shouldRun,
                    instance.build,
                    instance.generation,
                    instance.pid,
                    instance.stateSinceMicros,
                    instance.startedAtMicros,
                    instance.firstHealthyAtMicros,
                    List.copyOf(history.exitTimesMicros),
                    history.consecutiveExits,
                    history.nextStartMicros,
                    history.heldUntilMicros);
        }
    }

    /**
     * The saved fields of a {@link Rollout}.
     *
     * @param reason why the rollout stopped or rolled back; empty if it did neither
     * @param failures the number of new instances that have failed
     * @param endedAtMicros the end of the rollout; 0 while it is in progress
     * @param steps the step of each instance, by instance name
     */
    public record RolloutRecord(
            String fromBuild,
            String toBuild,
            RolloutStatus status,
            String reason,
            int failures,
            long startedAtMicros,
            long endedAtMicros,
            Map<String, RolloutStep> steps) {}

    /** A process that holds the lock of an instance, and the generation with which it was started. */
    public record RunningProcess(long pid, int generation) {}
}

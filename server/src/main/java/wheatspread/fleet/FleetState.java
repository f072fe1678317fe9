package wheatspread.fleet;

import java.util.List;
import java.util.Map;

/**
 * What a supervisor saves before it acts, so that the next one can continue. Times are Unix microseconds.
 *
 * @param rollout the last rollout; null if there was none
 * @param shuttingDown whether the whole fleet is to stop
 */
public record FleetState(List<InstanceRecord> instances, RolloutRecord rollout, boolean shuttingDown) {
    /** What is to be saved of a fleet now; {@code rollout} is null if there was none. */
    static FleetState of(InstanceTable instances, RestartBackoff backoff, Rollout rollout, boolean shuttingDown) {
        List<InstanceRecord> records = instances.all().stream()
                .map(instance -> InstanceRecord.of(instance, backoff.historyOf(instance.name)))
                .toList();
        return new FleetState(records, rollout == null ? null : rollout.toRecord(), shuttingDown);
    }

    /**
     * One instance, with the history of its exits. For the meaning of the fields see {@link FleetInstance} and
     * {@link RestartBackoff}.
     *
     * @param heldUntilMicros until when it is held for a crash loop; -1 if it is not
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
     * A rollout.
     *
     * @param reason why it stopped or rolled back; empty if it did not
     * @param failures how many new instances have failed
     * @param endedAtMicros 0 while it goes on
     * @param steps how far each of its instances has come, by name
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

    /** A process that holds the lock of an instance, with the generation that it was started as. */
    public record RunningProcess(long pid, int generation) {}
}

package wheatspread.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheatspread.fleet.FleetInstance.State;
import wheatspread.fleet.FleetPlan.RolloutPolicy;

/**
 * Replaces one build by another, instance by instance. The rollout decides which instance is drained next and with
 * which build an instance is started; {@link FleetController} starts and stops processes. {@link RolloutStep} describes
 * the steps of one instance.
 *
 * <p>Rules:
 * <ul>
 * <li>At most {@link RolloutPolicy#maxUnavailable} instances are unavailable at a time, for any reason. An instance
 *     that is being replaced counts as unavailable until its new process is verified. The rollout therefore pauses
 *     while other instances are unavailable.
 * <li>A new instance has failed if it exits without SIGTERM, is not healthy in time, or fails too many requests.
 *     {@link RolloutPolicy#maxFailedInstances} failures end the rollout, followed by a rollback if the operator has
 *     enabled it.
 * <li>A rollback has the same limit on unavailable instances, and restarts instances without a process first.
 * </ul>
 *
 * <p>The class does no I/O; times are Unix microseconds. One thread makes all calls.
 */
public final class Rollout {
    private static final long MICROS_PER_MILLI = 1_000;

    private final RolloutPolicy policy;
    private final RolloutVerification verification;
    private final String fromBuild;
    private final String toBuild;
    private final long startedAtMicros;
    /** The step of each instance, in the order of replacement. */
    private final Map<String, RolloutStep> steps = new LinkedHashMap<>();

    private RolloutStatus status = RolloutStatus.IN_PROGRESS;
    private String reason = "";
    private int failures;
    private boolean paused;
    private long endedAtMicros;

    Rollout(RolloutPolicy policy, String fromBuild, String toBuild, List<String> names, long nowMicros) {
        this.policy = policy;
        verification = new RolloutVerification(policy);
        this.fromBuild = fromBuild;
        this.toBuild = toBuild;
        startedAtMicros = nowMicros;
        names.forEach(name -> steps.put(name, RolloutStep.PENDING));
    }

    /** Restores a rollout that an earlier supervisor saved. */
    Rollout(RolloutPolicy policy, FleetState.RolloutRecord saved) {
        this.policy = policy;
        verification = new RolloutVerification(policy);
        fromBuild = saved.fromBuild();
        toBuild = saved.toBuild();
        startedAtMicros = saved.startedAtMicros();
        endedAtMicros = saved.endedAtMicros();
        status = saved.status();
        reason = saved.reason();
        failures = saved.failures();
        steps.putAll(saved.steps());
    }

    FleetState.RolloutRecord toRecord() {
        return new FleetState.RolloutRecord(
                fromBuild,
                toBuild,
                status,
                reason,
                failures,
                startedAtMicros,
                endedAtMicros,
                new LinkedHashMap<>(steps));
    }

    public RolloutStatus status() {
        return status;
    }

    /** Returns why the rollout stopped or rolled back; empty if it did neither. */
    public String reason() {
        return reason;
    }

    /** Returns whether the rollout waits because too many other instances are unavailable. */
    public boolean isPaused() {
        return paused;
    }

    public String toBuild() {
        return toBuild;
    }

    public long startedAtMicros() {
        return startedAtMicros;
    }

    /** Returns the time at which the rollout ended; 0 while it is in progress. */
    public long endedAtMicros() {
        return endedAtMicros;
    }

    public boolean isOver() {
        return status.isOver();
    }

    /** Returns the number of instances at a step. */
    public int count(RolloutStep step) {
        return (int) steps.values().stream().filter(current -> current == step).count();
    }

    /** Returns the number of instances that the rollout replaces. */
    public int size() {
        return steps.size();
    }

    /** Returns whether an instance is being replaced, so that the rollout decides when it starts. */
    boolean isReplacing(String name) {
        RolloutStep step = steps.get(name);
        return !isOver() && step != null && step.isBeingReplaced();
    }

    /** Returns the build with which an instance must start; null if the rollout does not decide it. */
    String buildOf(String name) {
        RolloutStep step = steps.get(name);
        if (step == null || status == RolloutStatus.STOPPED) {
            return null;
        }
        if (status == RolloutStatus.ROLLING_BACK || status == RolloutStatus.ROLLED_BACK) {
            return fromBuild;
        }
        return step == RolloutStep.PENDING ? null : toBuild;
    }

    // ---- events of instances ----

    /** Records that a process was started; ignored unless the instance is being replaced. */
    void processStarted(String name) {
        if (isReplacing(name)) {
            steps.put(name, RolloutStep.STARTING);
        }
    }

    /** Records that no process took the lock after a recorded start; the instance will be started again. */
    void startNotConfirmed(String name) {
        if (isReplacing(name)) {
            steps.put(name, RolloutStep.STOPPED);
        }
    }

    /** Records the exit of a process; {@code expected} tells whether SIGTERM was sent to it before. */
    void processExited(FleetInstance instance, boolean expected, long nowMicros) {
        RolloutStep step = steps.get(instance.name);
        if (isOver() || step == null) {
            return;
        }
        if (step == RolloutStep.DRAINING || status == RolloutStatus.ROLLING_BACK) {
            steps.put(instance.name, RolloutStep.STOPPED); // a rollback starts the old build, whichever build exited
            return;
        }
        boolean runsNewBuild = instance.build.equals(toBuild) && step != RolloutStep.PENDING;
        if (runsNewBuild && !expected) {
            steps.put(instance.name, RolloutStep.STOPPED);
            instanceFailed(instance, describeExit(instance, nowMicros), nowMicros);
        }
    }

    private static String describeExit(FleetInstance instance, long nowMicros) {
        String code = instance.lastExitCode == FleetInstance.UNKNOWN_EXIT_CODE
                ? "an unknown code"
                : "code " + instance.lastExitCode;
        String when = instance.firstHealthyAtMicros == 0
                ? "before it was well"
                : (nowMicros - instance.firstHealthyAtMicros) / MICROS_PER_MILLI + " ms after it was well";
        return "ended with " + code + " " + when;
    }

    /** Records the failure of a new instance; {@code description} is appended to its name and build in the reason. */
    void instanceFailed(FleetInstance instance, String description, long nowMicros) {
        failures++;
        if (status != RolloutStatus.IN_PROGRESS || failures < policy.maxFailedInstances()) {
            return;
        }
        reason = instance.name + ": generation " + instance.generation + " of build " + toBuild + " " + description;
        if (policy.automaticRollback()) {
            status = RolloutStatus.ROLLING_BACK;
            steps.replaceAll((name, step) -> step.stepInRollback());
        } else {
            end(RolloutStatus.STOPPED, nowMicros);
        }
    }

    /**
     * Records that an instance which failed too many requests is drained, and will be started again with the same
     * build.
     */
    void retryInstance(FleetInstance instance) {
        if (steps.containsKey(instance.name)) {
            steps.put(instance.name, RolloutStep.DRAINING);
        }
    }

    /**
     * Records that an instance of the rollout is held because of a crash loop. This ends the rollout; a rollback
     * continues without the instance.
     */
    void instanceInCrashLoop(FleetInstance instance, long nowMicros) {
        if (status == RolloutStatus.ROLLING_BACK) {
            reason += "; " + instance.name + " is held";
            steps.put(instance.name, RolloutStep.DONE);
        } else {
            failures = policy.maxFailedInstances() - 1;
            instanceFailed(instance, "is held as a crash loop", nowMicros);
        }
    }

    /** Stops the rollout; every instance keeps its current build. */
    void stop(String stopReason, long nowMicros) {
        if (!isOver()) {
            reason = stopReason;
            end(RolloutStatus.STOPPED, nowMicros);
        }
    }

    private void end(RolloutStatus finalStatus, long nowMicros) {
        status = finalStatus;
        endedAtMicros = nowMicros;
        paused = false;
    }

    /** Returns whether an instance fails too many requests; false unless it is being verified with the new build. */
    boolean failsTooManyRequests(FleetInstance instance) {
        return status == RolloutStatus.IN_PROGRESS
                && instance.build.equals(toBuild)
                && steps.get(instance.name) == RolloutStep.VERIFYING
                && verification.failsTooManyRequests(instance);
    }

    // ---- progress ----

    /**
     * Advances every instance to its next step, and returns the instances to drain. An instance whose new process is
     * not verified counts as unavailable.
     */
    List<FleetInstance> advance(InstanceTable instances, long nowMicros) {
        if (isOver()) {
            return List.of();
        }
        for (Map.Entry<String, RolloutStep> entry : steps.entrySet()) {
            entry.setValue(nextStep(entry.getValue(), instances.get(entry.getKey()), nowMicros));
        }
        List<FleetInstance> toDrain = startDrains(instances, nowMicros);
        boolean allDone = steps.values().stream().allMatch(step -> step == RolloutStep.DONE);
        if (allDone) {
            boolean rolledBack = status == RolloutStatus.ROLLING_BACK;
            end(rolledBack ? RolloutStatus.ROLLED_BACK : RolloutStatus.COMPLETED, nowMicros);
        }
        return toDrain;
    }

    /** Returns the next step of an instance; {@code instance} is null if it is no longer in the table. */
    private RolloutStep nextStep(RolloutStep step, FleetInstance instance, long nowMicros) {
        if (instance == null || !instance.shouldRun && step == RolloutStep.PENDING) {
            return RolloutStep.DONE;
        }
        return switch (step) {
            case PENDING -> keptOldBuild(instance) ? RolloutStep.DONE : step;
            case STARTING -> instance.state == State.HEALTHY ? stepAfterStarting() : step;
            case VERIFYING -> verification.isVerified(instance, nowMicros) ? RolloutStep.DONE : step;
            default -> step;
        };
    }

    /** Returns whether a rollback can skip a pending instance, since it still runs the old build. */
    private boolean keptOldBuild(FleetInstance instance) {
        return status == RolloutStatus.ROLLING_BACK
                && instance.build.equals(fromBuild)
                && instance.state != State.DRAINING;
    }

    /** Returns the step after {@code STARTING}; the old build needs no verification. */
    private RolloutStep stepAfterStarting() {
        return status == RolloutStatus.ROLLING_BACK ? RolloutStep.DONE : RolloutStep.VERIFYING;
    }

    /**
     * Starts the replacement of as many pending instances as the limit allows, and returns those that have a process to
     * drain. An instance that is known to be unavailable is replaced regardless of the limit, since this does not
     * reduce the number of available instances. A stale instance may still serve requests, so the limit applies to it.
     */
    private List<FleetInstance> startDrains(InstanceTable instances, long nowMicros) {
        int maxUnavailable = policy.maxUnavailable(instances.all().size());
        int replacing = countReplacing(instances);
        int unavailableOtherwise = countUnavailableOtherwise(instances, nowMicros);
        int unavailable = replacing + unavailableOtherwise;
        boolean limitReached = false;
        List<FleetInstance> toDrain = new ArrayList<>();
        for (Map.Entry<String, RolloutStep> entry : steps.entrySet()) {
            if (entry.getValue() != RolloutStep.PENDING) {
                continue;
            }
            FleetInstance instance = instances.get(entry.getKey());
            boolean alreadyUnavailable = instance.shouldRun && instance.state != State.HEALTHY;
            if (unavailable >= maxUnavailable && !alreadyUnavailable) {
                limitReached = true;
                continue;
            }
            unavailable += alreadyUnavailable ? 0 : 1;
            entry.setValue(instance.hasProcess() ? RolloutStep.DRAINING : RolloutStep.STOPPED);
            if (instance.hasProcess() && instance.state != State.DRAINING) {
                toDrain.add(instance);
            }
        }
        paused = limitReached && unavailableOtherwise > 0;
        return toDrain;
    }

    private int countReplacing(InstanceTable instances) {
        return (int) instances.all().stream()
                .filter(instance -> isReplacing(instance.name))
                .count();
    }

    private int countUnavailableOtherwise(InstanceTable instances, long nowMicros) {
        return (int) instances.unavailable(nowMicros).stream()
                .filter(instance -> !isReplacing(instance.name))
                .count();
    }
}

package wheatspread.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheatspread.fleet.FleetInstance.State;
import wheatspread.fleet.FleetPlan.RolloutPolicy;

/**
 * Replaces a build by another, instance by instance. It decides which instance is drained next and which build an
 * instance starts with; {@link FleetController} starts and stops processes. The steps of an instance stand in
 * {@link RolloutStep}.
 *
 * <p>Rules:
 * <ul>
 * <li>At most {@link RolloutPolicy#maxUnavailable} instances are unavailable at a time, whatever made them so. An
 * instance
 *     that is being replaced counts as unavailable until its new process is verified, so a rollout pauses by itself
 *     while other instances are down.
 * <li>A new instance has failed if it exits without SIGTERM, is not healthy in time, or fails too many requests.
 *     {@link RolloutPolicy#maxFailedInstances} failures end the rollout, with a rollback where the operator wants one.
 * <li>A rollback keeps the same bound, and takes instances without a process first.
 * </ul>
 *
 * <p>It does no I/O; times are Unix microseconds.
 */
public final class Rollout {
    private static final long MICROS_PER_MILLI = 1_000;

    private final RolloutPolicy policy;
    private final RolloutVerification verification;
    private final String fromBuild;
    private final String toBuild;
    private final long startedAtMicros;
    /** By instance, in the order in which they are replaced. */
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

    /** Goes on with one that an earlier supervisor recorded. */
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

    /** Why it stopped or rolled back; empty if it did not. */
    public String reason() {
        return reason;
    }

    /** Whether it waits because too much of the fleet is unavailable for other reasons. */
    public boolean isPaused() {
        return paused;
    }

    public String toBuild() {
        return toBuild;
    }

    public long startedAtMicros() {
        return startedAtMicros;
    }

    /** When it ended; 0 while it goes on. */
    public long endedAtMicros() {
        return endedAtMicros;
    }

    public boolean isOver() {
        return status.isOver();
    }

    /** How many of its instances are at a step. */
    public int count(RolloutStep step) {
        return (int) steps.values().stream().filter(current -> current == step).count();
    }

    /** How many instances it replaces. */
    public int size() {
        return steps.size();
    }

    /** Whether it is replacing an instance now, so that the rollout decides about its start. */
    boolean isReplacing(String name) {
        RolloutStep step = steps.get(name);
        return !isOver() && step != null && step.isBeingReplaced();
    }

    /** The build that an instance is to start with; null where the rollout does not decide that. */
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

    // ---- what happens to its instances ----

    /** A process of an instance was started for the rollout. */
    void processStarted(String name) {
        if (isReplacing(name)) {
            steps.put(name, RolloutStep.STARTING);
        }
    }

    /** A recorded start did not show itself in time, and counts as not carried out. */
    void startNotConfirmed(String name) {
        if (isReplacing(name)) {
            steps.put(name, RolloutStep.STOPPED);
        }
    }

    /** A process of an instance exited; {@code expected} says whether it had been sent SIGTERM. */
    void processExited(FleetInstance instance, boolean expected, long nowMicros) {
        RolloutStep step = steps.get(instance.name);
        if (isOver() || step == null) {
            return;
        }
        if (step == RolloutStep.DRAINING || status == RolloutStatus.ROLLING_BACK) {
            steps.put(instance.name, RolloutStep.STOPPED); // a rollback starts the old build, whichever one exited
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

    /** A new instance failed; {@code description} goes on after its name and build. */
    void instanceFailed(FleetInstance instance, String description, long nowMicros) {
        failures++;
        if (status != RolloutStatus.IN_PROGRESS || failures < policy.maxFailedInstances()) {
            return;
        }
        reason = instance.name + ": generation " + instance.generation + " of build " + toBuild + " " + description;
        if (policy.automaticRollback()) {
            status = RolloutStatus.ROLLING_BACK;
            steps.replaceAll((name, step) -> step.whenRollingBack());
        } else {
            end(RolloutStatus.STOPPED, nowMicros);
        }
    }

    /** An instance that failed too many requests was sent SIGTERM and is started again with the same build. */
    void retryInstance(FleetInstance instance) {
        if (steps.containsKey(instance.name)) {
            steps.put(instance.name, RolloutStep.DRAINING);
        }
    }

    /**
     * An instance of it is held for a crash loop. That ends the rollout; a rollback goes on without the instance.
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

    /** Ends it where it stands. */
    void stop(String why, long nowMicros) {
        if (!isOver()) {
            reason = why;
            end(RolloutStatus.STOPPED, nowMicros);
        }
    }

    private void end(RolloutStatus how, long nowMicros) {
        status = how;
        endedAtMicros = nowMicros;
        paused = false;
    }

    /** Whether an instance fails too many requests; only the verification of a new build asks that. */
    boolean failsTooManyRequests(FleetInstance instance) {
        return status == RolloutStatus.IN_PROGRESS
                && instance.build.equals(toBuild)
                && steps.get(instance.name) == RolloutStep.VERIFYING
                && verification.failsTooManyRequests(instance);
    }

    // ---- its progress ----

    /**
     * Takes every instance to its next step, and returns those that are to be drained now. {@code instances} says
     * which are available; one whose new process is not verified does not count as such.
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

    /** {@code instance} is null where it left the fleet. */
    private RolloutStep nextStep(RolloutStep step, FleetInstance instance, long nowMicros) {
        if (instance == null || !instance.shouldRun && step == RolloutStep.PENDING) {
            return RolloutStep.DONE;
        }
        return switch (step) {
            case PENDING -> keptOldBuild(instance) ? RolloutStep.DONE : step;
            case STARTING -> instance.state == State.HEALTHY ? whenHealthy() : step;
            case VERIFYING -> verification.isVerified(instance, nowMicros) ? RolloutStep.DONE : step;
            default -> step;
        };
    }

    /** Whether a rollback has nothing to do for an instance whose turn did not come. */
    private boolean keptOldBuild(FleetInstance instance) {
        return status == RolloutStatus.ROLLING_BACK
                && instance.build.equals(fromBuild)
                && instance.state != State.DRAINING;
    }

    /** The old build needs no verification. */
    private RolloutStep whenHealthy() {
        return status == RolloutStatus.ROLLING_BACK ? RolloutStep.DONE : RolloutStep.VERIFYING;
    }

    /**
     * Begins the replacement of as many pending instances as the bound allows, and returns those with a process to
     * drain. An instance that is known to be unavailable is replaced regardless of the bound, since nothing is lost
     * by it; one that is only stale may still serve, and is not.
     */
    private List<FleetInstance> startDrains(InstanceTable instances, long nowMicros) {
        int maxUnavailable = policy.maxUnavailable(instances.all().size());
        int replacing = countReplacing(instances);
        int unavailableOtherwise = countUnavailableOtherwise(instances, nowMicros);
        int unavailable = replacing + unavailableOtherwise;
        boolean someWait = false;
        List<FleetInstance> toDrain = new ArrayList<>();
        for (Map.Entry<String, RolloutStep> entry : steps.entrySet()) {
            if (entry.getValue() != RolloutStep.PENDING) {
                continue;
            }
            FleetInstance instance = instances.get(entry.getKey());
            boolean alreadyUnavailable = instance.shouldRun && instance.state != State.HEALTHY;
            if (unavailable >= maxUnavailable && !alreadyUnavailable) {
                someWait = true;
                continue;
            }
            unavailable += alreadyUnavailable ? 0 : 1;
            entry.setValue(instance.hasProcess() ? RolloutStep.DRAINING : RolloutStep.STOPPED);
            if (instance.hasProcess() && instance.state != State.DRAINING) {
                toDrain.add(instance);
            }
        }
        paused = someWait && unavailableOtherwise > 0;
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

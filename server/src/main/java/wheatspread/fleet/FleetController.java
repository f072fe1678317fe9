package wheatspread.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import wheatspread.fleet.FleetInstance.Health;
import wheatspread.fleet.FleetInstance.State;
import wheatspread.fleet.FleetState.RunningProcess;
import wheatspread.logging.EventLog;

/**
 * Decides which instances of a fleet are started, drained and killed, using {@link InstanceTable},
 * {@link RestartBackoff}, {@link InstanceTimeouts} and {@link Rollout}. The class does no I/O and reads no clock; times
 * are Unix microseconds. It is not thread-safe: one thread makes all calls.
 *
 * <p>In each turn the supervisor reports its observations, calls {@link #decide}, saves {@link #state}, and then
 * carries out the {@link InstanceAction}s that {@code decide} returned.
 *
 * <p>Recovery relies on this invariant: an instance is started only after its previous process is known to have
 * exited, and every start has a new generation number. If an earlier supervisor recorded a start but may not have
 * carried it out, the process is given time to take its lock before the next generation is started. The lock ensures
 * that at most one process of an instance runs.
 */
public final class FleetController {
    private final FleetPlan plan;
    private final FleetLog log;
    private final InstanceTable instances;
    private final RestartBackoff backoff;
    private final InstanceTimeouts timeouts;
    /** The actions that {@link #decide} has not returned yet. */
    private final List<InstanceAction> pendingActions = new ArrayList<>();
    /** The last rollout; null if there has been none. */
    private Rollout rollout;
    /** Whether the fleet is being shut down. */
    private boolean shuttingDown;

    /** Creates a controller; {@code seed} seeds the jitter of restart delays. */
    public FleetController(FleetPlan plan, long seed, EventLog log) {
        this.plan = plan;
        this.log = new FleetLog(log);
        instances = new InstanceTable(plan);
        backoff = new RestartBackoff(plan.backoff(), seed);
        timeouts = new InstanceTimeouts(plan);
    }

    public InstanceTable instances() {
        return instances;
    }

    /** Returns the last rollout; null if there has been none. */
    public Rollout rollout() {
        return rollout;
    }

    /** Returns whether the fleet is being shut down and every process has exited. */
    public boolean isShutDown() {
        return shuttingDown && instances.all().stream().noneMatch(FleetInstance::hasProcess);
    }

    public boolean isShuttingDown() {
        return shuttingDown;
    }

    // ---- operators' commands; a command that cannot be carried out throws IllegalArgumentException ----

    /**
     * Starts a rollout to a build.
     *
     * @param names the instances to replace; empty for all instances that should run
     * @param count the maximum number of instances to replace; 0 for no limit
     */
    public void startRollout(String toBuild, List<String> names, int count, long nowMicros) {
        if (shuttingDown) {
            throw new IllegalArgumentException(
                    "cannot start a rollout to " + toBuild + ": the fleet is being shut down");
        }
        if (isRollingOut()) {
            throw new IllegalArgumentException("cannot start a rollout to " + toBuild + ": the rollout to "
                    + rollout.toBuild() + " is still in progress");
        }
        names.forEach(this::requireInstance);
        List<String> chosen = instances.all().stream()
                .filter(instance -> names.isEmpty() ? instance.shouldRun : names.contains(instance.name))
                .limit(count == 0 ? Long.MAX_VALUE : count)
                .map(instance -> instance.name)
                .toList();
        if (chosen.isEmpty()) {
            throw new IllegalArgumentException("cannot start a rollout to " + toBuild + ": no instance should run");
        }
        String fromBuild = instances.get(chosen.get(0)).build;
        rollout = new Rollout(plan.rollout(), fromBuild, toBuild, chosen, nowMicros);
        chosen.forEach(backoff::reset);
        int maxUnavailable = plan.rollout().maxUnavailable(instances.all().size());
        log.rolloutStarted(fromBuild, toBuild, chosen.size(), maxUnavailable);
    }

    /** Stops the rollout in progress; every instance keeps its current build. */
    public void stopRollout(long nowMicros) {
        if (!isRollingOut()) {
            throw new IllegalArgumentException("cannot stop the rollout: no rollout is in progress");
        }
        rollout.stop("stopped by an operator", nowMicros);
    }

    /** Drains an instance, which is not restarted until {@link #enable} is called. */
    public void drain(String name, long nowMicros) {
        FleetInstance instance = requireInstance(name);
        instance.shouldRun = false;
        beginDrain(instance, nowMicros);
        leaveCrashLoop(instance, nowMicros);
    }

    /** Starts an instance that was drained or that is held because of a crash loop. */
    public void enable(String name, long nowMicros) {
        FleetInstance instance = requireInstance(name);
        instance.shouldRun = true;
        backoff.reset(name);
        leaveCrashLoop(instance, nowMicros);
    }

    /** Drains all instances. No instance is started after this call. */
    public void shutDown(long nowMicros) {
        shuttingDown = true;
        if (isRollingOut()) {
            rollout.stop("the fleet went down", nowMicros);
        }
        instances.all().forEach(instance -> beginDrain(instance, nowMicros));
    }

    private boolean isRollingOut() {
        return rollout != null && !rollout.isOver();
    }

    private FleetInstance requireInstance(String name) {
        FleetInstance instance = instances.get(name);
        if (instance == null) {
            throw new IllegalArgumentException("unknown instance name " + name);
        }
        return instance;
    }

    private static void leaveCrashLoop(FleetInstance instance, long nowMicros) {
        if (instance.state == State.CRASH_LOOP) {
            instance.enterState(State.STOPPED, nowMicros);
        }
    }

    // ---- observations of the supervisor; an observation of another generation is ignored ----

    /** Records the process id of a started instance. */
    public void processStarted(String name, int generation, long pid) {
        FleetInstance instance = instances.get(name);
        if (instance != null && instance.generation == generation) {
            instance.pid = pid;
            instance.startUnconfirmedUntilMicros = 0;
        }
    }

    /** Records the answer to a health check. */
    public void healthCheckAnswered(String name, int generation, Health health, long nowMicros) {
        FleetInstance instance = instances.get(name);
        if (instance != null && instances.recordHealthCheck(instance, generation, health, nowMicros)) {
            log.stateChanged(instance, nowMicros);
        }
    }

    /** Records a health check that was refused or timed out. */
    public void healthCheckFailed(String name, int generation, long nowMicros) {
        FleetInstance instance = instances.get(name);
        if (instance != null && instances.recordFailedCheck(instance, generation, nowMicros)) {
            log.stateChanged(instance, nowMicros);
        }
    }

    /** Records the exit of a process; {@code exitCode} may be {@link FleetInstance#UNKNOWN_EXIT_CODE}. */
    public void processExited(String name, int generation, int exitCode, long nowMicros) {
        FleetInstance instance = instances.get(name);
        if (instance == null || instance.generation != generation || !instance.hasProcess()) {
            return;
        }
        boolean expected = instance.state == State.DRAINING;
        instance.recordExit(exitCode, nowMicros);
        log.processExited(instance, expected, nowMicros);
        boolean endsRollout = reportExitToRollout(instance, expected, nowMicros);
        if (!expected && !endsRollout) {
            countUnexpectedExit(instance, nowMicros);
        }
    }

    /** Returns whether the exit changed the rollout's status; such an exit is not counted for the restart backoff. */
    private boolean reportExitToRollout(FleetInstance instance, boolean expected, long nowMicros) {
        if (rollout == null) {
            return false;
        }
        RolloutStatus before = rollout.status();
        rollout.processExited(instance, expected, nowMicros);
        if (rollout.status() == before) {
            return false;
        }
        log.rolloutStatusChanged(rollout);
        return true;
    }

    private void countUnexpectedExit(FleetInstance instance, long nowMicros) {
        long uptimeMicros = nowMicros - instance.startedAtMicros;
        if (!backoff.recordExit(instance.name, uptimeMicros, nowMicros)) {
            return;
        }
        instance.enterState(State.CRASH_LOOP, nowMicros);
        log.crashLoopDetected(instance, plan.backoff());
        if (rollout != null && rollout.isReplacing(instance.name)) {
            rollout.instanceInCrashLoop(instance, nowMicros);
            log.rolloutStatusChanged(rollout);
        }
    }

    // ---- decisions ----

    /** Decides about every instance. Returns the actions to carry out after {@link #state} has been saved. */
    public List<InstanceAction> decide(long nowMicros) {
        for (FleetInstance instance : instances.all()) {
            superviseInstance(instance, nowMicros);
        }
        if (isRollingOut()) {
            advanceRollout(nowMicros);
        }
        if (!shuttingDown) {
            startInstances(nowMicros);
        }
        List<InstanceAction> actions = List.copyOf(pendingActions);
        pendingActions.clear();
        return actions;
    }

    private void superviseInstance(FleetInstance instance, long nowMicros) {
        if (InstanceTimeouts.isStartConfirmationOverdue(instance, nowMicros)) {
            giveUpUnconfirmedStart(instance, nowMicros);
            return;
        }
        String killReason = timeouts.killReason(instance, nowMicros);
        if (killReason != null) {
            kill(instance, killReason);
        } else if (rollout != null && rollout.failsTooManyRequests(instance)) {
            failNewInstance(instance, nowMicros);
        }
    }

    /**
     * Gives up a start whose process has not taken its lock in time: the start was not carried out, or the process
     * exited immediately. This counts neither as an exit nor as a failure of the build, since a faulty build also fails
     * in its next generation.
     */
    private void giveUpUnconfirmedStart(FleetInstance instance, long nowMicros) {
        instance.startUnconfirmedUntilMicros = 0;
        instance.enterState(State.STOPPED, nowMicros);
        if (rollout != null) {
            rollout.startNotConfirmed(instance.name);
        }
        log.startNotConfirmed(instance);
    }

    private void kill(FleetInstance instance, String reason) {
        if (instance.killRequested) {
            return;
        }
        instance.killRequested = true;
        pendingActions.add(new InstanceAction.Kill(instance.name, instance.generation, reason));
        log.instanceKilled(instance, reason);
    }

    /**
     * Reports to the rollout that a new instance failed. If the rollout continues, the instance is drained and started
     * again with the same build.
     */
    private void failNewInstance(FleetInstance instance, long nowMicros) {
        long requests = instance.health.served() + instance.health.failed();
        rollout.instanceFailed(
                instance, "failed " + instance.health.failed() + " of " + requests + " requests", nowMicros);
        log.rolloutStatusChanged(rollout);
        if (rollout.status() == RolloutStatus.IN_PROGRESS) {
            beginDrain(instance, nowMicros);
            rollout.retryInstance(instance);
        }
    }

    /** Orders SIGTERM for an instance, unless it has no process or is draining already. */
    void beginDrain(FleetInstance instance, long nowMicros) {
        if (!instance.hasProcess() || instance.state == State.DRAINING) {
            return;
        }
        instance.enterState(State.DRAINING, nowMicros);
        terminate(instance);
        log.drainStarted(instance);
    }

    void terminate(FleetInstance instance) {
        pendingActions.add(new InstanceAction.Terminate(instance.name, instance.generation));
    }

    private void advanceRollout(long nowMicros) {
        boolean wasPaused = rollout.isPaused();
        RolloutStatus before = rollout.status();
        for (FleetInstance instance : rollout.advance(instances, nowMicros)) {
            beginDrain(instance, nowMicros);
        }
        if (rollout.isPaused() != wasPaused) {
            log.rolloutPaused(rollout, instances.unavailable(nowMicros).size());
        }
        if (rollout.status() != before) {
            log.rolloutStatusChanged(rollout);
        }
    }

    /**
     * Starts the instances that should run and have no process. At most {@link FleetPlan#maxConcurrentStarts}
     * instances are in state {@code STARTING} at a time; instances that a rollout replaces are limited by the rollout
     * instead.
     */
    private void startInstances(long nowMicros) {
        int starting = instances.count(State.STARTING);
        for (FleetInstance instance : instances.all()) {
            boolean replacing = rollout != null && rollout.isReplacing(instance.name);
            if (instance.state == State.CRASH_LOOP && instance.shouldRun && !backoff.isHeld(instance.name, nowMicros)) {
                leaveCrashLoop(instance, nowMicros);
            }
            boolean allowed = replacing || instance.shouldRun && starting < plan.maxConcurrentStarts();
            if (instance.state == State.STOPPED
                    && allowed
                    && backoff.endExpiredHoldAndCheckStart(instance.name, nowMicros)) {
                startInstance(instance, nowMicros);
                starting++;
            }
        }
    }

    private void startInstance(FleetInstance instance, long nowMicros) {
        String rolloutBuild = rollout == null ? null : rollout.buildOf(instance.name);
        instance.beginGeneration(rolloutBuild == null ? instance.build : rolloutBuild, nowMicros);
        if (rollout != null) {
            rollout.processStarted(instance.name);
        }
        pendingActions.add(new InstanceAction.Start(instance.name, instance.build, instance.generation));
        log.instanceStarted(instance);
    }

    // ---- recovery after a restart of the supervisor ----

    /** Returns the state to save before the actions that {@link #decide} returned are carried out. */
    public FleetState state() {
        return FleetState.of(instances, backoff, rollout, shuttingDown);
    }

    /**
     * Restores the state that an earlier supervisor saved, and adopts its running processes.
     *
     * <p>Instances that the plan no longer contains are drained, and remain in the table.
     *
     * @param running the processes that hold the lock of an instance, by instance name
     */
    public void restore(FleetState saved, Map<String, RunningProcess> running, long nowMicros) {
        shuttingDown = saved.shuttingDown();
        rollout = saved.rollout() == null ? null : new Rollout(plan.rollout(), saved.rollout());
        FleetRecovery recovery = new FleetRecovery(plan, instances, backoff, this);
        for (FleetState.InstanceRecord savedInstance : saved.instances()) {
            recovery.restore(savedInstance, running.get(savedInstance.name()), nowMicros);
        }
        log.restored(saved.instances().size(), running.size(), rollout);
    }

    /** Returns whether an earlier supervisor recorded, but may not have carried out, the last start of an instance. */
    public boolean isStartUnconfirmed(String name) {
        FleetInstance instance = instances.get(name);
        return instance != null && instance.startUnconfirmedUntilMicros > 0;
    }
}

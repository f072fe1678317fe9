package wheatspread.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import wheatspread.fleet.FleetInstance.Health;
import wheatspread.fleet.FleetInstance.State;
import wheatspread.fleet.FleetState.RunningProcess;
import wheatspread.logging.EventLog;

/**
 * All decisions of a supervisor: which instance is started, drained or killed, by {@link InstanceTable},
 * {@link RestartBackoff}, {@link InstanceTimeouts} and {@link Rollout}. It does no I/O and reads no clock; times are
 * Unix microseconds. One thread calls it.
 *
 * <p>In each turn the supervisor reports what it saw, calls {@link #decide}, saves {@link #state}, and then carries out
 * the {@link InstanceAction}s that {@code decide} returned.
 *
 * <p>The rule on which recovery rests: an instance is started only after its earlier process is known to have exited,
 * and each start is a generation of its own. A start that an earlier supervisor recorded, and may not have carried
 * out, gets time to show itself by its lock before the next generation is started; the lock lets only one process of a
 * name run.
 */
public final class FleetController {
    private final FleetPlan plan;
    private final FleetLog log;
    private final InstanceTable instances;
    private final RestartBackoff backoff;
    private final InstanceTimeouts timeouts;
    /** Decided, and not returned by {@link #decide} yet. */
    private final List<InstanceAction> pendingActions = new ArrayList<>();
    /** The last one; null if there was none. */
    private Rollout rollout;
    /** Whether the whole fleet is to stop. */
    private boolean shuttingDown;

    /** {@code seed} is that of the jitter of restart delays. */
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

    /** The last rollout; null if there was none. */
    public Rollout rollout() {
        return rollout;
    }

    /** Whether the fleet is to stop and every process has exited. */
    public boolean isShutDown() {
        return shuttingDown && instances.all().stream().noneMatch(FleetInstance::hasProcess);
    }

    public boolean isShuttingDown() {
        return shuttingDown;
    }

    // ---- operators' commands; one that cannot be carried out is an IllegalArgumentException ----

    /**
     * Begins a rollout to a build.
     *
     * @param names the instances to replace; empty for all that should run
     * @param count how many of them to replace at most; 0 for no bound
     */
    public void startRollout(String toBuild, List<String> names, int count, long nowMicros) {
        if (shuttingDown) {
            throw new IllegalArgumentException("the fleet is going down");
        }
        if (isRollingOut()) {
            throw new IllegalArgumentException("a roll to " + rollout.toBuild() + " goes on");
        }
        names.forEach(this::requireInstance);
        List<String> chosen = instances.all().stream()
                .filter(instance -> names.isEmpty() ? instance.shouldRun : names.contains(instance.name))
                .limit(count == 0 ? Long.MAX_VALUE : count)
                .map(instance -> instance.name)
                .toList();
        if (chosen.isEmpty()) {
            throw new IllegalArgumentException("there is nobody to roll");
        }
        String fromBuild = instances.get(chosen.get(0)).build;
        rollout = new Rollout(plan.rollout(), fromBuild, toBuild, chosen, nowMicros);
        chosen.forEach(backoff::reset);
        int maxUnavailable = plan.rollout().maxUnavailable(instances.all().size());
        log.rolloutStarted(fromBuild, toBuild, chosen.size(), maxUnavailable);
    }

    /** Ends a rollout where it stands. */
    public void stopRollout(long nowMicros) {
        if (!isRollingOut()) {
            throw new IllegalArgumentException("no roll goes on");
        }
        rollout.stop("stopped by an operator", nowMicros);
    }

    /** Drains an instance; it is not restarted until {@link #enable}. */
    public void drain(String name, long nowMicros) {
        FleetInstance instance = requireInstance(name);
        instance.shouldRun = false;
        beginDrain(instance, nowMicros);
        leaveCrashLoop(instance, nowMicros);
    }

    /** Starts an instance that was drained, or is held for a crash loop. */
    public void enable(String name, long nowMicros) {
        FleetInstance instance = requireInstance(name);
        instance.shouldRun = true;
        backoff.reset(name);
        leaveCrashLoop(instance, nowMicros);
    }

    /** Drains the whole fleet; nothing is started any more. */
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
            throw new IllegalArgumentException("there is no member " + name);
        }
        return instance;
    }

    private static void leaveCrashLoop(FleetInstance instance, long nowMicros) {
        if (instance.state == State.CRASH_LOOP) {
            instance.enterState(State.STOPPED, nowMicros);
        }
    }

    // ---- what the supervisor saw; what belongs to another generation changes nothing ----

    /** The process of an instance has this process id. */
    public void processStarted(String name, int generation, long pid) {
        FleetInstance instance = instances.get(name);
        if (instance != null && instance.generation == generation) {
            instance.pid = pid;
            instance.startUnconfirmedUntilMicros = 0;
        }
    }

    /** A health check was answered. */
    public void healthCheckAnswered(String name, int generation, Health health, long nowMicros) {
        FleetInstance instance = instances.get(name);
        if (instance != null && instances.recordHealthCheck(instance, generation, health, nowMicros)) {
            log.stateChanged(instance, nowMicros);
        }
    }

    /** A health check was refused, or not answered in time. */
    public void healthCheckFailed(String name, int generation, long nowMicros) {
        FleetInstance instance = instances.get(name);
        if (instance != null && instances.recordFailedCheck(instance, generation, nowMicros)) {
            log.stateChanged(instance, nowMicros);
        }
    }

    /** The process of an instance exited; the code may be {@link FleetInstance#UNKNOWN_EXIT_CODE}. */
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

    /** Returns whether the exit changed the rollout's status, by which it is accounted for. */
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

    /** Decides on every instance. Returns what is to be done once {@link #state} is saved. */
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
        if (InstanceTimeouts.startUnconfirmed(instance, nowMicros)) {
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
     * The start was not carried out, or its process exited at once. Neither counts as an exit or as a fault of the
     * build; the next generation will show one.
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

    /** Where that does not end the rollout, another generation of the same build is tried. */
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

    /** Sends SIGTERM, unless there is no process or it was sent before. */
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
     * Starts instances that should run and have no process, {@link FleetPlan#maxConcurrentStarts} at a time. Those
     * that a rollout replaces are bounded by the rollout instead.
     */
    private void startInstances(long nowMicros) {
        int starting = instances.count(State.STARTING);
        for (FleetInstance instance : instances.all()) {
            boolean replacing = rollout != null && rollout.isReplacing(instance.name);
            if (instance.state == State.CRASH_LOOP && instance.shouldRun && !backoff.isHeld(instance.name, nowMicros)) {
                leaveCrashLoop(instance, nowMicros);
            }
            boolean allowed = replacing || instance.shouldRun && starting < plan.maxConcurrentStarts();
            if (instance.state == State.STOPPED && allowed && backoff.mayStart(instance.name, nowMicros)) {
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

    // ---- from one supervisor to the next ----

    /** What is to be saved before the actions that were last returned are carried out. */
    public FleetState state() {
        return FleetState.of(instances, backoff, rollout, shuttingDown);
    }

    /**
     * Goes on from what an earlier supervisor saved and from the processes found running, by instance. Instances that
     * the plan no longer has are drained, and stay in the table until then.
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

    /** Whether it is open if a start that an earlier supervisor recorded was carried out. */
    public boolean isStartUnconfirmed(String name) {
        FleetInstance instance = instances.get(name);
        return instance != null && instance.startUnconfirmedUntilMicros > 0;
    }
}

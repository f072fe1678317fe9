package wheatspread.supervisor;

import java.io.IOException;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheatspread.fleet.FleetController;
import wheatspread.fleet.FleetInstance;
import wheatspread.fleet.FleetState;
import wheatspread.fleet.FleetState.RunningProcess;
import wheatspread.fleet.InstanceAction;
import wheatspread.logging.EventLog;

/**
 * Executes the turns of a {@link FleetController} on a {@link HostOperations}.
 *
 * <p>Each turn observes, decides, saves the state and then acts. Because of this order a crash at any step is harmless:
 * the next supervisor finds every action in the saved state, and the processes by their locks. One thread makes all
 * calls.
 */
final class Supervisor {
    private final FleetController fleet;
    private final HostOperations host;
    private final long checkIntervalMicros;
    private final EventLog log;
    private final Map<String, Long> nextCheckMicros = new HashMap<>();
    /** The last saved state; null before the first save. */
    private FleetState savedState;
    /** The time of the current turn, with which the check results of the turn are recorded. */
    private long turnMicros;

    /** Creates a supervisor; {@code checkIntervalMicros} is the time between two health checks of an instance. */
    Supervisor(FleetController fleet, HostOperations host, long checkIntervalMicros, EventLog log) {
        this.fleet = fleet;
        this.host = host;
        this.checkIntervalMicros = checkIntervalMicros;
        this.log = log;
    }

    /** Restores the state of an earlier supervisor and adopts its processes. */
    void recover(long nowMicros) throws IOException {
        FleetState saved = host.loadState();
        if (saved == null) {
            return;
        }
        Map<String, RunningProcess> running = new LinkedHashMap<>();
        for (FleetState.InstanceRecord instance : saved.instances()) {
            RunningProcess process = host.lockHolder(instance.name());
            if (process != null) {
                running.put(instance.name(), process);
                host.watchProcess(instance.name(), process.pid());
            }
        }
        fleet.restore(saved, running, nowMicros);
    }

    /** Executes one turn. Returns whether the fleet is being shut down and every process has exited. */
    boolean runTurn(long nowMicros) throws IOException {
        turnMicros = nowMicros;
        host.deliverCheckResults();
        reportExits(nowMicros);
        for (FleetInstance instance : List.copyOf(fleet.instances().all())) {
            confirmStart(instance);
            checkHealth(instance, nowMicros);
        }
        List<InstanceAction> actions = fleet.decide(nowMicros);
        saveChangedState();
        for (InstanceAction action : actions) {
            execute(action, nowMicros);
        }
        return fleet.isShutDown();
    }

    private void reportExits(long nowMicros) {
        for (Map.Entry<String, Integer> exit : host.takeExitedProcesses().entrySet()) {
            int generation = fleet.instances().get(exit.getKey()).generation();
            fleet.processExited(exit.getKey(), generation, exit.getValue(), nowMicros);
        }
    }

    private void saveChangedState() throws IOException {
        FleetState state = fleet.state();
        if (!state.equals(savedState)) {
            host.saveState(state);
            savedState = state;
        }
    }

    /** Confirms a start that an earlier supervisor recorded, if the process holds the lock. */
    private void confirmStart(FleetInstance instance) throws IOException {
        if (!fleet.isStartUnconfirmed(instance.name())) {
            return;
        }
        RunningProcess process = host.lockHolder(instance.name());
        if (process != null && process.generation() == instance.generation()) {
            host.watchProcess(instance.name(), process.pid());
            fleet.processStarted(instance.name(), instance.generation(), process.pid());
        }
    }

    private void checkHealth(FleetInstance instance, long nowMicros) {
        boolean needsCheck = instance.hasProcess() && instance.state() != FleetInstance.State.DRAINING;
        if (!needsCheck || nextCheckMicros.getOrDefault(instance.name(), 0L) > nowMicros) {
            return;
        }
        nextCheckMicros.put(instance.name(), nowMicros + checkIntervalMicros);
        int generation = instance.generation();
        host.checkHealth(
                instance.name(), generation, health -> healthCheckFinished(instance.name(), generation, health));
    }

    /** Records the result of a health check; {@code health} is null if the instance did not answer. */
    private void healthCheckFinished(String name, int generation, FleetInstance.Health health) {
        if (health == null) {
            fleet.healthCheckFailed(name, generation, turnMicros);
        } else {
            fleet.healthCheckAnswered(name, generation, health, turnMicros);
        }
    }

    private void execute(InstanceAction action, long nowMicros) {
        String name = action.instance();
        long pid = fleet.instances().get(name).pid();
        if (action instanceof InstanceAction.Start start) {
            startProcess(start, nowMicros);
        } else if (pid > 0 && action instanceof InstanceAction.Terminate) {
            host.sendSigterm(name, pid);
        } else if (pid > 0) {
            host.sendSigkill(name, pid);
        }
    }

    private void startProcess(InstanceAction.Start start, long nowMicros) {
        String name = start.instance();
        try {
            RunningProcess process = host.lockHolder(name);
            if (process != null) {
                adoptLateProcess(start, process);
                return;
            }
            long pid = host.startProcess(name, start.build(), start.generation());
            fleet.processStarted(name, start.generation(), pid);
        } catch (IOException e) {
            log.error("instance_start_failed", "name", name, "build", start.build(), "error", e.getMessage());
            fleet.processExited(name, start.generation(), FleetInstance.UNKNOWN_EXIT_CODE, nowMicros);
        }
    }

    /**
     * Adopts the process of an earlier start that took its lock after the confirmation time. A second process would
     * exit because the lock is held.
     */
    private void adoptLateProcess(InstanceAction.Start start, RunningProcess process) {
        host.watchProcess(start.instance(), process.pid());
        fleet.processStarted(start.instance(), start.generation(), process.pid());
        log.warn("instance_found", "name", start.instance(), "generation", process.generation());
    }
}

package wheatspread.supervisor;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import wheatspread.fleet.FleetInstance;
import wheatspread.fleet.FleetInstance.Health;
import wheatspread.fleet.FleetState;
import wheatspread.fleet.FleetState.RunningProcess;

/**
 * Simulates a machine in memory, with a manual clock. Processes take their lock, become healthy, drain and crash as
 * their build's {@link Behaviour} defines; the supervisor can be crashed before and after each operation. Violations of
 * the supervisor's invariants are recorded in {@link #violations}.
 */
final class SimulatedHost implements HostOperations {
    static final long MICROS_PER_MILLI = 1_000;

    /** Thrown by an operation to simulate a crash of the supervisor. */
    static final class SupervisorCrash extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    /**
     * The behaviour of the processes of a build; times are relative to the start, and an exit time of 0 means never.
     */
    record Behaviour(
            long locksAfterMicros,
            long healthyAfterMicros,
            long exitsAfterMicros,
            int exitCode,
            boolean ignoresSigterm,
            int failedRequestPercent) {
        static final Behaviour GOOD = new Behaviour(150 * MICROS_PER_MILLI, 800 * MICROS_PER_MILLI, 0, 0, false, 0);
    }

    static final class SimulatedProcess {
        final long pid;
        final String build;
        final int generation;
        final long startedAtMicros;
        final Behaviour behaviour;
        long drainedAtMicros = Long.MAX_VALUE;
        boolean running = true;
        int exitCode;

        SimulatedProcess(long pid, String build, int generation, long startedAtMicros, Behaviour behaviour) {
            this.pid = pid;
            this.build = build;
            this.generation = generation;
            this.startedAtMicros = startedAtMicros;
            this.behaviour = behaviour;
        }
    }

    final Map<String, Behaviour> builds = new HashMap<>(Map.of("v1", Behaviour.GOOD, "v2", Behaviour.GOOD));
    final Map<String, SimulatedProcess> processes = new LinkedHashMap<>();
    final List<String> violations = new ArrayList<>();
    final Set<String> startedGenerations = new HashSet<>();
    /** The processes whose exit is reported, by instance; the value tells whether they are children. */
    private final Map<String, Boolean> watched = new LinkedHashMap<>();
    /** The instances of started processes that exited because the lock was held. */
    private final List<String> lockLosers = new ArrayList<>();

    private final Deque<Runnable> checkResults = new ArrayDeque<>();
    private FleetState savedState;
    long nowMicros = 1_000_000_000_000L;
    private long lastPid = 100;
    /** The number of the step at which the supervisor crashes; -1 for never. */
    int crashAtStep = -1;

    int steps;
    /** Whether all health checks remain unanswered. */
    boolean checksUnanswered;

    /** Counts a step of the supervisor, and crashes the supervisor at {@link #crashAtStep}. */
    private void countStep() {
        if (steps++ == crashAtStep) {
            throw new SupervisorCrash();
        }
    }

    /** Advances the clock, and ends the processes whose exit time has passed. */
    void advance(long micros) {
        nowMicros += micros;
        for (SimulatedProcess process : processes.values()) {
            long exitsAtMicros = process.behaviour.exitsAfterMicros == 0
                    ? Long.MAX_VALUE
                    : process.startedAtMicros + process.behaviour.exitsAfterMicros;
            if (process.running && nowMicros >= Math.min(exitsAtMicros, process.drainedAtMicros)) {
                process.running = false;
                process.exitCode = exitsAtMicros <= process.drainedAtMicros ? process.behaviour.exitCode : 0;
            }
        }
    }

    /** Discards what the crashed supervisor held in memory. */
    void discardSupervisorMemory() {
        watched.clear();
        checkResults.clear();
        crashAtStep = -1;
    }

    boolean serves(String name) {
        SimulatedProcess process = processes.get(name);
        return process != null
                && process.running
                && process.drainedAtMicros == Long.MAX_VALUE
                && nowMicros >= process.startedAtMicros + process.behaviour.healthyAfterMicros;
    }

    void crash(String name) {
        processes.get(name).running = false;
        processes.get(name).exitCode = 137;
    }

    @Override
    public FleetState loadState() {
        return savedState;
    }

    @Override
    public void saveState(FleetState state) {
        countStep();
        savedState = StateFile.fromJson(StateFile.toJson(state)); // as if read back from the file
        countStep();
    }

    @Override
    public long startProcess(String name, String build, int generation) {
        countStep();
        SimulatedProcess previous = processes.get(name);
        if (previous != null && previous.running && lockHolder(name) != null) {
            violations.add(name + " was started while its previous process holds the lock");
        } else if (previous != null && previous.running) {
            lockLosers.add(name); // the earlier process takes the lock, and the new process exits
            startedGenerations.add(name + "." + generation);
            return ++lastPid;
        }
        if (!startedGenerations.add(name + "." + generation)) {
            violations.add(name + " generation " + generation + " was started twice");
        }
        FleetState.InstanceRecord savedInstance = savedState.instances().stream()
                .filter(instance -> instance.name().equals(name))
                .findFirst()
                .orElseThrow();
        if (savedInstance.generation() != generation) {
            violations.add(name + " generation " + generation + " was started before the state was saved");
        }
        SimulatedProcess process = new SimulatedProcess(++lastPid, build, generation, nowMicros, builds.get(build));
        processes.put(name, process);
        watched.put(name, true);
        countStep();
        return process.pid;
    }

    @Override
    public void sendSigterm(String name, long pid) {
        countStep();
        SimulatedProcess process = processes.get(name);
        if (process.pid == pid && !process.behaviour.ignoresSigterm && process.drainedAtMicros == Long.MAX_VALUE) {
            process.drainedAtMicros = nowMicros + 2_700 * MICROS_PER_MILLI;
        }
        countStep();
    }

    @Override
    public void sendSigkill(String name, long pid) {
        countStep();
        if (processes.get(name).pid == pid) {
            crash(name);
        }
        countStep();
    }

    @Override
    public RunningProcess lockHolder(String name) {
        SimulatedProcess process = processes.get(name);
        return process != null
                        && process.running
                        && nowMicros >= process.startedAtMicros + process.behaviour.locksAfterMicros
                ? new RunningProcess(process.pid, process.generation)
                : null;
    }

    @Override
    public Map<String, Integer> takeExitedProcesses() {
        Map<String, Integer> exitCodes = new LinkedHashMap<>();
        watched.forEach((name, child) -> {
            if (!processes.get(name).running) {
                exitCodes.put(name, child ? processes.get(name).exitCode : FleetInstance.UNKNOWN_EXIT_CODE);
            }
        });
        watched.keySet().removeAll(exitCodes.keySet());
        lockLosers.forEach(name -> exitCodes.put(name, 75));
        lockLosers.clear();
        return exitCodes;
    }

    @Override
    public void watchProcess(String name, long pid) {
        watched.putIfAbsent(name, false);
    }

    @Override
    public void checkHealth(String name, int generation, Consumer<Health> result) {
        SimulatedProcess process = processes.get(name);
        boolean healthy = serves(name) && !checksUnanswered;
        long requests = process == null
                ? 0
                : Math.max(0, nowMicros - process.startedAtMicros - process.behaviour.healthyAfterMicros)
                        / (50 * MICROS_PER_MILLI);
        long failed = process == null ? 0 : requests * process.behaviour.failedRequestPercent / 100;
        checkResults.add(() -> result.accept(healthy ? new Health(true, requests - failed, failed, 0, 0) : null));
    }

    @Override
    public void deliverCheckResults() {
        while (!checkResults.isEmpty()) {
            checkResults.poll().run();
        }
    }
}

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
 * A host in memory with a clock of its own. Processes start, take their lock, become healthy, drain and crash as the
 * behaviour of their build says; the supervisor can be crashed before and after each of its operations. It records
 * violations of what must never happen.
 */
final class SimulatedHost implements HostOperations {
    static final long MICROS_PER_MILLI = 1_000;

    /** A crash of the supervisor. */
    static final class SupervisorCrash extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    /** How processes of a build behave; times in microseconds after the start, 0 for never. */
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

        SimulatedProcess(long pid, String build, int generation, long startedAt, Behaviour behaviour) {
            this.pid = pid;
            this.build = build;
            this.generation = generation;
            this.startedAtMicros = startedAt;
            this.behaviour = behaviour;
        }
    }

    final Map<String, Behaviour> builds = new HashMap<>(Map.of("v1", Behaviour.GOOD, "v2", Behaviour.GOOD));
    final Map<String, SimulatedProcess> processes = new LinkedHashMap<>();
    final List<String> violations = new ArrayList<>();
    final Set<String> startedGenerations = new HashSet<>();
    private final Map<String, Boolean> watched = new LinkedHashMap<>();
    private final List<String> lockLosers = new ArrayList<>();
    private final Deque<Runnable> checkResults = new ArrayDeque<>();
    private FleetState savedState;
    long nowMicros = 1_000_000_000_000L;
    private long lastPid = 100;
    /** The supervisor crashes at this step; -1 for never. */
    int crashAtStep = -1;

    int steps;
    /** Whether health checks get no answer. */
    boolean checksUnanswered;

    private void step() {
        if (steps++ == crashAtStep) {
            throw new SupervisorCrash();
        }
    }

    /** Moves the clock on; processes exit as their behaviour says. */
    void advance(long micros) {
        nowMicros += micros;
        for (SimulatedProcess instance : processes.values()) {
            long dies = instance.behaviour.exitsAfterMicros == 0
                    ? Long.MAX_VALUE
                    : instance.startedAtMicros + instance.behaviour.exitsAfterMicros;
            if (instance.running && nowMicros >= Math.min(dies, instance.drainedAtMicros)) {
                instance.running = false;
                instance.exitCode = dies <= instance.drainedAtMicros ? instance.behaviour.exitCode : 0;
            }
        }
    }

    /** A new supervisor has started; what the old one held in memory is lost. */
    void supervisorRestarted() {
        watched.clear();
        checkResults.clear();
        crashAtStep = -1;
    }

    boolean serves(String name) {
        SimulatedProcess instance = processes.get(name);
        return instance != null
                && instance.running
                && instance.drainedAtMicros == Long.MAX_VALUE
                && nowMicros >= instance.startedAtMicros + instance.behaviour.healthyAfterMicros;
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
        step();
        savedState = StateFile.fromJson(StateFile.toJson(state)); // what a file would give back
        step();
    }

    @Override
    public long startProcess(String name, String build, int generation) {
        step();
        SimulatedProcess before = processes.get(name);
        if (before != null && before.running && lockHolder(name) != null) {
            violations.add(name + " was started while it lives");
        } else if (before != null && before.running) {
            lockLosers.add(name); // the first process takes the lock, and this one exits
            startedGenerations.add(name + "." + generation);
            return ++lastPid;
        }
        if (!startedGenerations.add(name + "." + generation)) {
            violations.add(name + " generation " + generation + " was started twice");
        }
        FleetState.InstanceRecord written = savedState.instances().stream()
                .filter(instance -> instance.name().equals(name))
                .findFirst()
                .orElseThrow();
        if (written.generation() != generation) {
            violations.add(name + " was started before that was written down");
        }
        SimulatedProcess proc = new SimulatedProcess(++lastPid, build, generation, nowMicros, builds.get(build));
        processes.put(name, proc);
        watched.put(name, true);
        step();
        return proc.pid;
    }

    @Override
    public void sendSigterm(String name, long pid) {
        step();
        SimulatedProcess instance = processes.get(name);
        if (instance.pid == pid && !instance.behaviour.ignoresSigterm && instance.drainedAtMicros == Long.MAX_VALUE) {
            instance.drainedAtMicros = nowMicros + 2_700 * MICROS_PER_MILLI;
        }
        step();
    }

    @Override
    public void sendSigkill(String name, long pid) {
        step();
        if (processes.get(name).pid == pid) {
            crash(name);
        }
        step();
    }

    @Override
    public RunningProcess lockHolder(String name) {
        SimulatedProcess instance = processes.get(name);
        return instance != null
                        && instance.running
                        && nowMicros >= instance.startedAtMicros + instance.behaviour.locksAfterMicros
                ? new RunningProcess(instance.pid, instance.generation)
                : null;
    }

    @Override
    public Map<String, Integer> exitedProcesses() {
        Map<String, Integer> ended = new LinkedHashMap<>();
        watched.forEach((name, child) -> {
            if (!processes.get(name).running) {
                ended.put(name, child ? processes.get(name).exitCode : FleetInstance.UNKNOWN_EXIT_CODE);
            }
        });
        watched.keySet().removeAll(ended.keySet());
        lockLosers.forEach(name -> ended.put(name, 75));
        lockLosers.clear();
        return ended;
    }

    @Override
    public void watchProcess(String name, long pid) {
        watched.putIfAbsent(name, false);
    }

    @Override
    public void checkHealth(String name, int generation, Consumer<Health> answer) {
        SimulatedProcess instance = processes.get(name);
        boolean well = serves(name) && !checksUnanswered;
        long asked = instance == null
                ? 0
                : Math.max(0, nowMicros - instance.startedAtMicros - instance.behaviour.healthyAfterMicros)
                        / (50 * MICROS_PER_MILLI);
        long failed = instance == null ? 0 : asked * instance.behaviour.failedRequestPercent / 100;
        checkResults.add(() -> answer.accept(well ? new Health(true, asked - failed, failed, 0, 0) : null));
    }

    @Override
    public void deliverCheckResults() {
        while (!checkResults.isEmpty()) {
            checkResults.poll().run();
        }
    }
}

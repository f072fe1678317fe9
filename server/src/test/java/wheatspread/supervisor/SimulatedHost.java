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
import wheatspread.fleet.FleetState.Found;

/**
 * A machine in memory with a clock of its own. Processes start, lock, become well, leave and die as their
 * build says; the supervisor can be crashed before and after each thing it does. It notes what must never
 * happen.
 */
final class SimulatedHost implements HostOperations {
    static final long MS = 1_000;

    /** The supervisor died. */
    static final class Crash extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    /** How processes of a build behave; times in microseconds after the start, 0 for never. */
    record Behaviour(long locksAfter, long wellAfter, long diesAfter, int code, boolean deaf, int failedPercent) {
        static final Behaviour GOOD = new Behaviour(150 * MS, 800 * MS, 0, 0, false, 0);
    }

    static final class Proc {
        final long pid;
        final String build;
        final int generation;
        final long startedAt;
        final Behaviour behaviour;
        long leavesAt = Long.MAX_VALUE;
        boolean alive = true;
        int code;

        Proc(long pid, String build, int generation, long startedAt, Behaviour behaviour) {
            this.pid = pid;
            this.build = build;
            this.generation = generation;
            this.startedAt = startedAt;
            this.behaviour = behaviour;
        }
    }

    final Map<String, Behaviour> builds = new HashMap<>(Map.of("v1", Behaviour.GOOD, "v2", Behaviour.GOOD));
    final Map<String, Proc> procs = new LinkedHashMap<>();
    final List<String> faults = new ArrayList<>();
    final Set<String> started = new HashSet<>();
    private final Map<String, Boolean> watched = new LinkedHashMap<>();
    private final List<String> losers = new ArrayList<>();
    private final Deque<Runnable> answers = new ArrayDeque<>();
    private FleetState disk;
    long now = 1_000_000_000_000L;
    private long lastPid = 100;
    /** The supervisor dies at this step; -1 for never. */
    int crashAt = -1;

    int steps;
    /** Health checks go unanswered. */
    boolean mute;

    private void step() {
        if (steps++ == crashAt) {
            throw new Crash();
        }
    }

    /** Time passes, and processes with it. */
    void pass(long micros) {
        now += micros;
        for (Proc one : procs.values()) {
            long dies = one.behaviour.diesAfter == 0 ? Long.MAX_VALUE : one.startedAt + one.behaviour.diesAfter;
            if (one.alive && now >= Math.min(dies, one.leavesAt)) {
                one.alive = false;
                one.code = dies <= one.leavesAt ? one.behaviour.code : 0;
            }
        }
    }

    /** A new supervisor: what the old one held in memory is gone. */
    void reborn() {
        watched.clear();
        answers.clear();
        crashAt = -1;
    }

    boolean serves(String name) {
        Proc one = procs.get(name);
        return one != null
                && one.alive
                && one.leavesAt == Long.MAX_VALUE
                && now >= one.startedAt + one.behaviour.wellAfter;
    }

    void die(String name) {
        procs.get(name).alive = false;
        procs.get(name).code = 137;
    }

    @Override
    public FleetState load() {
        return disk;
    }

    @Override
    public void save(FleetState state) {
        step();
        disk = StateFile.read(StateFile.write(state)); // what a file would give back
        step();
    }

    @Override
    public long start(String name, String build, int generation) {
        step();
        Proc before = procs.get(name);
        if (before != null && before.alive && holder(name) != null) {
            faults.add(name + " was started while it lives");
        } else if (before != null && before.alive) {
            losers.add(name); // the first one takes the lock in the end, and this one finds it taken
            started.add(name + "." + generation);
            return ++lastPid;
        }
        if (!started.add(name + "." + generation)) {
            faults.add(name + " generation " + generation + " was started twice");
        }
        FleetState.Of written = disk.members().stream()
                .filter(one -> one.name().equals(name))
                .findFirst()
                .orElseThrow();
        if (written.generation() != generation) {
            faults.add(name + " was started before that was written down");
        }
        Proc proc = new Proc(++lastPid, build, generation, now, builds.get(build));
        procs.put(name, proc);
        watched.put(name, true);
        step();
        return proc.pid;
    }

    @Override
    public void terminate(String name, long pid) {
        step();
        Proc one = procs.get(name);
        if (one.pid == pid && !one.behaviour.deaf && one.leavesAt == Long.MAX_VALUE) {
            one.leavesAt = now + 2_700 * MS;
        }
        step();
    }

    @Override
    public void kill(String name, long pid) {
        step();
        if (procs.get(name).pid == pid) {
            die(name);
        }
        step();
    }

    @Override
    public Found holder(String name) {
        Proc one = procs.get(name);
        return one != null && one.alive && now >= one.startedAt + one.behaviour.locksAfter
                ? new Found(one.pid, one.generation)
                : null;
    }

    @Override
    public Map<String, Integer> ended() {
        Map<String, Integer> ended = new LinkedHashMap<>();
        watched.forEach((name, child) -> {
            if (!procs.get(name).alive) {
                ended.put(name, child ? procs.get(name).code : FleetInstance.UNKNOWN_CODE);
            }
        });
        watched.keySet().removeAll(ended.keySet());
        losers.forEach(name -> ended.put(name, 75));
        losers.clear();
        return ended;
    }

    @Override
    public void watch(String name, long pid) {
        watched.putIfAbsent(name, false);
    }

    @Override
    public void check(String name, int generation, Consumer<Health> answer) {
        Proc one = procs.get(name);
        boolean well = serves(name) && !mute;
        long asked = one == null ? 0 : Math.max(0, now - one.startedAt - one.behaviour.wellAfter) / (50 * MS);
        long failed = one == null ? 0 : asked * one.behaviour.failedPercent / 100;
        answers.add(() -> answer.accept(well ? new Health(true, asked - failed, failed, 0, 0) : null));
    }

    @Override
    public void pump() {
        while (!answers.isEmpty()) {
            answers.poll().run();
        }
    }
}

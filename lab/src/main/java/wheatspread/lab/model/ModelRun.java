package wheatspread.lab.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.json.JSONArray;
import org.json.JSONObject;
import wheatspread.lab.faults.Fault;
import wheatspread.lab.faults.LinkModel;
import wheatspread.lab.faults.Scenario;
import wheatspread.membership.DetectorSettings;
import wheatspread.membership.Member;
import wheatspread.membership.View;
import wheatspread.membership.ViewId;

/** Simulates a scenario on virtual time with the server's membership code. The seed determines the result. */
public final class ModelRun {
    private static final long START_MICROS = 10_000_000_000L;
    private static final long SETTLING_MICROS = 5_000_000;
    private static final long CHECK_INTERVAL_MICROS = 50_000;
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long STARVATION_PERIOD_MICROS = 100_000;

    private final Scenario scenario;
    private final long seed;
    private final VirtualTime time = new VirtualTime(START_MICROS);
    private final LinkModel links;
    private final ModelFleet fleet;
    private final Set<String> endedMembers = new TreeSet<>();
    private final List<double[]> seconds = new ArrayList<>();

    private long wallLimitNanos = Long.MAX_VALUE;

    /**
     * The result of a simulation.
     *
     * @param faults the violated expectations and invariants
     * @param seconds the messages, bytes and views up to the end of each second
     * @param finished false if the run was stopped at its wall-clock limit; its figures then cover the simulated part
     */
    public record Outcome(JSONObject figures, List<String> faults, List<double[]> seconds, boolean finished) {}

    /** All random draws come from {@code seed}. */
    public ModelRun(Scenario scenario, DetectorSettings settings, long seed) {
        this.scenario = scenario;
        this.seed = seed;
        SplittableRandom random = new SplittableRandom(seed);
        links = new LinkModel(random.split());
        fleet = new ModelFleet(
                time, links, random.split(), settings, scenario.members().subList(0, scenario.seedCount()));
    }

    /** Stops the run after {@code limit} of wall-clock time; returns this. */
    public ModelRun limitWallTime(Duration limit) {
        wallLimitNanos = limit.toNanos();
        return this;
    }

    /** Runs the simulation; may be called once. */
    public Outcome simulate() {
        long wallStartNanos = System.nanoTime();
        List<Member> members = new ArrayList<>();
        scenario.zones().forEach((name, zone) -> members.add(ModelFleet.member(name, zone, 1)));
        View initialView = new View(new ViewId(1, 1), members);
        members.forEach(member -> fleet.start(member, initialView));
        time.runUntil(START_MICROS + SETTLING_MICROS);
        long beginMicros = time.nowMicros();
        scenario.faults().forEach(fault -> schedule(fault, beginMicros));
        long messages = fleet.messages();
        long bytes = fleet.bytes();
        long faultsEndMicros = beginMicros + scenario.lastFaultEndMicros();
        long convergedMicros = -1;
        boolean finished = true;
        for (long checkMicros = beginMicros + CHECK_INTERVAL_MICROS;
                finished && checkMicros <= beginMicros + scenario.runMicros();
                checkMicros += CHECK_INTERVAL_MICROS) {
            time.runUntil(checkMicros);
            if (convergedMicros < 0 && checkMicros >= faultsEndMicros && fleet.hasCommonView(expectedSize())) {
                convergedMicros = checkMicros - faultsEndMicros;
            }
            if ((checkMicros - beginMicros) % MICROS_PER_SECOND == 0) {
                seconds.add(new double[] {fleet.messages(), fleet.bytes(), fleet.viewCount()});
            }
            finished = System.nanoTime() - wallStartNanos < wallLimitNanos;
        }
        return evaluate(
                convergedMicros,
                new Baseline(messages, bytes, fleet.viewMessageBytes(initialView)),
                time.nowMicros() - beginMicros,
                System.nanoTime() - wallStartNanos);
    }

    private int expectedSize() {
        return scenario.expect().finalMembers() >= 0
                ? scenario.expect().finalMembers()
                : scenario.members().size() - endedMembers.size();
    }

    // ---- fault injection ----

    private void schedule(Fault fault, long beginMicros) {
        if (fault.kind().isLinkFault()) {
            time.schedule(beginMicros + fault.beginMicros(), () -> links.begin(fault));
            time.schedule(beginMicros + fault.endMicros(), () -> links.end(fault));
            return;
        }
        for (String name : fault.on()) {
            time.schedule(
                    beginMicros + fault.beginMicros(), () -> inject(fault, name, beginMicros + fault.endMicros()));
        }
    }

    private void inject(Fault fault, String name, long endMicros) {
        switch (fault.kind()) {
            case PAUSE -> fleet.stop(name, endMicros);
            case STARVE -> starve(fault, name, endMicros);
            case KILL -> {
                endedMembers.add(name);
                fleet.kill(name);
            }
            case RESTART -> {
                fleet.kill(name);
                fleet.start(ModelFleet.member(name, scenario.zones().get(name), time.nowMicros()), null);
            }
            case LEAVE -> {
                endedMembers.add(name);
                fleet.leave(name);
                time.schedule(time.nowMicros() + 2 * MICROS_PER_SECOND, () -> fleet.kill(name));
            }
            default -> {} // the simulation passes message objects, so garbage bytes have no effect
        }
    }

    /** Lets the process run for only {@code fault.share()} of each period, until {@code endMicros}. */
    private void starve(Fault fault, String name, long endMicros) {
        if (time.nowMicros() < endMicros) {
            fleet.stop(name, time.nowMicros() + Math.round(STARVATION_PERIOD_MICROS * (1 - fault.share())));
            time.schedule(time.nowMicros() + STARVATION_PERIOD_MICROS, () -> starve(fault, name, endMicros));
        }
    }

    // ---- evaluation ----

    /** The traffic sent before the measured part, and the size of the initial view's message. */
    private record Baseline(long messages, long bytes, int viewBytes) {}

    private Outcome evaluate(long convergedMicros, Baseline baseline, long simulatedMicros, long wallNanos) {
        List<String> faults = new ArrayList<>(fleet.faults());
        if (scenario.losesQuorum()) {
            if (fleet.viewCounts().keySet().stream().anyMatch(view -> !view.endsWith(" old"))) {
                faults.add("quorum lost, but not every member reports it; members by view: " + fleet.viewCounts());
            }
        } else if (convergedMicros < 0 || convergedMicros > scenario.expect().convergenceMicros()) {
            faults.add("common view of " + expectedSize() + " members "
                    + (convergedMicros < 0
                            ? "not reached; members by view: " + fleet.viewCounts()
                            : "reached only after " + convergedMicros / 1_000 + " ms"));
        } else if (!fleet.hasCommonView(expectedSize())) {
            faults.add("common view not kept until the end; members by view: " + fleet.viewCounts());
        }
        int views = fleet.viewCount() - 1;
        if (scenario.expect().maxViews() >= 0 && views > scenario.expect().maxViews()) {
            faults.add(views + " view changes; expected no more than "
                    + scenario.expect().maxViews());
        }
        Set<String> removedNames = new TreeSet<>();
        fleet.removedMembers().forEach(removed -> removedNames.add(removed.name()));
        Set<String> expectedNames = scenario.expect().missedMembers();
        if (expectedNames != null && !expectedNames.equals(removedNames)) {
            faults.add("members removed as down: " + removedNames + "; expected " + new TreeSet<>(expectedNames));
        }
        double memberSeconds = scenario.members().size() * (simulatedMicros / 1e6);
        boolean finished = simulatedMicros >= scenario.runMicros();
        if (!finished) {
            faults.add("stopped at the limit of the wall clock after " + simulatedMicros / 1_000
                    + " ms of simulated time");
        }
        return new Outcome(
                new JSONObject()
                        .put("seed", seed)
                        .put("members", scenario.members().size())
                        .put("converged_ms", convergedMicros < 0 ? -1 : convergedMicros / 1_000)
                        .put("views", views)
                        .put("missed", new JSONArray(removedNames))
                        .put(
                                "missed_alive",
                                fleet.removedMembers().stream()
                                        .filter(ModelFleet.RemovedMember::alive)
                                        .count())
                        .put("messages_per_member_s", (fleet.messages() - baseline.messages) / memberSeconds)
                        .put("bytes_per_member_s", (fleet.bytes() - baseline.bytes) / memberSeconds)
                        .put("view_bytes", baseline.viewBytes())
                        .put("wall_s", wallNanos / 1_000_000_000)
                        .put("steps_per_s", time.executedTasks() / (wallNanos / 1e9)),
                faults,
                seconds,
                finished);
    }
}

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

/** Plays a scenario on virtual time, with the decision code of the program; repeatable by its seed. */
public final class ModelRun {
    private static final long BEGIN = 10_000_000_000L;
    private static final long SETTLED = 5_000_000;
    private static final long LOOK = 50_000;
    private static final long SECOND = 1_000_000;
    private static final long SLICE = 100_000;

    private final Scenario scenario;
    private final long seed;
    private final VirtualTime time = new VirtualTime(BEGIN);
    private final LinkModel links;
    private final ModelFleet fleet;
    private final Set<String> ended = new TreeSet<>();
    private final List<double[]> seconds = new ArrayList<>();

    private long wallLimit = Long.MAX_VALUE;

    /**
     * What came of it; {@code faults} is empty where all held. A second has messages, bytes and views. A run that
     * was not {@code finished} was stopped at its limit, and its figures cover the part that was played.
     */
    public record Outcome(JSONObject figures, List<String> faults, List<double[]> seconds, boolean finished) {}

    /** A run that has not begun; all its random draws come from the seed. */
    public ModelRun(Scenario scenario, DetectorSettings settings, long seed) {
        this.scenario = scenario;
        this.seed = seed;
        SplittableRandom random = new SplittableRandom(seed);
        links = new LinkModel(random.split());
        fleet = new ModelFleet(
                time, links, random.split(), settings, scenario.members().subList(0, scenario.seedCount()));
    }

    /** Stops the run once it has taken so long by the wall clock; returns this. */
    public ModelRun limit(Duration most) {
        wallLimit = most.toNanos();
        return this;
    }

    /** Once an object. */
    public Outcome play() {
        long wall = System.nanoTime();
        List<Member> members = new ArrayList<>();
        scenario.zones().forEach((name, zone) -> members.add(ModelFleet.member(name, zone, 1)));
        View first = new View(new ViewId(1, 1), members);
        members.forEach(one -> fleet.start(one, first));
        time.runUntil(BEGIN + SETTLED);
        long begin = time.now();
        scenario.faults().forEach(one -> befall(one, begin));
        long messages = fleet.messages();
        long bytes = fleet.bytes();
        long end = begin + scenario.lastFaultEndMicros();
        long converged = -1;
        boolean finished = true;
        for (long at = begin + LOOK; finished && at <= begin + scenario.runMicros(); at += LOOK) {
            time.runUntil(at);
            if (converged < 0 && at >= end && fleet.agree(size())) {
                converged = at - end;
            }
            if ((at - begin) % SECOND == 0) {
                seconds.add(new double[] {fleet.messages(), fleet.bytes(), fleet.views()});
            }
            finished = System.nanoTime() - wall < wallLimit;
        }
        return judge(
                converged,
                new Before(messages, bytes, fleet.bytesOf(first)),
                time.now() - begin,
                System.nanoTime() - wall);
    }

    private int size() {
        return scenario.expect().finalMembers() >= 0
                ? scenario.expect().finalMembers()
                : scenario.members().size() - ended.size();
    }

    // ---- what befalls them ----

    private void befall(Fault fault, long begin) {
        if (fault.kind().isLinkFault()) {
            time.at(begin + fault.beginMicros(), () -> links.begin(fault));
            time.at(begin + fault.endMicros(), () -> links.end(fault));
            return;
        }
        for (String name : fault.on()) {
            time.at(begin + fault.beginMicros(), () -> carryOut(fault, name, begin + fault.endMicros()));
        }
    }

    private void carryOut(Fault fault, String name, long end) {
        switch (fault.kind()) {
            case PAUSE -> fleet.stop(name, end);
            case STARVE -> starve(fault, name, end);
            case KILL -> {
                ended.add(name);
                fleet.kill(name);
            }
            case RESTART -> {
                fleet.kill(name);
                fleet.start(ModelFleet.member(name, scenario.zones().get(name), time.now()), null);
            }
            case LEAVE -> {
                ended.add(name);
                fleet.leave(name);
                time.at(time.now() + 2 * SECOND, () -> fleet.kill(name));
            }
            default -> {} // garbage is for those who read bytes
        }
    }

    /** Stopped for most of each slice. */
    private void starve(Fault fault, String name, long end) {
        if (time.now() < end) {
            fleet.stop(name, time.now() + Math.round(SLICE * (1 - fault.share())));
            time.at(time.now() + SLICE, () -> starve(fault, name, end));
        }
    }

    // ---- what came of it ----

    /** What was sent before the run began, and the bytes of the view that it began with. */
    private record Before(long messages, long bytes, int viewBytes) {}

    private Outcome judge(long converged, Before before, long played, long wall) {
        List<String> faults = new ArrayList<>(fleet.faults());
        if (scenario.losesQuorum()) {
            if (fleet.standing().keySet().stream().anyMatch(one -> !one.endsWith(" old"))) {
                faults.add("no quorum lives, and not all say so: " + fleet.standing());
            }
        } else if (converged < 0 || converged > scenario.expect().convergenceMicros()) {
            faults.add("one view of " + size()
                    + (converged < 0 ? " never came: " + fleet.standing() : " after " + converged / 1_000 + " ms"));
        } else if (!fleet.agree(size())) {
            faults.add("the view did not last until the end: " + fleet.standing());
        }
        int views = fleet.views() - 1;
        if (scenario.expect().maxViews() >= 0 && views > scenario.expect().maxViews()) {
            faults.add(views + " views, and " + scenario.expect().maxViews() + " at most were expected");
        }
        Set<String> missed = new TreeSet<>();
        fleet.missed().forEach(one -> missed.add(one.name()));
        Set<String> gone = scenario.expect().missedMembers();
        if (gone != null && !gone.equals(missed)) {
            faults.add("missed were " + missed + "; expected " + new TreeSet<>(gone));
        }
        double memberSeconds = scenario.members().size() * (played / 1e6);
        boolean finished = played >= scenario.runMicros();
        if (!finished) {
            faults.add("stopped at the limit of the wall clock after " + played / 1_000 + " ms of the run");
        }
        return new Outcome(
                new JSONObject()
                        .put("seed", seed)
                        .put("members", scenario.members().size())
                        .put("converged_ms", converged < 0 ? -1 : converged / 1_000)
                        .put("views", views)
                        .put("missed", new JSONArray(missed))
                        .put(
                                "missed_alive",
                                fleet.missed().stream()
                                        .filter(ModelFleet.Missed::alive)
                                        .count())
                        .put("messages_per_member_s", (fleet.messages() - before.messages) / memberSeconds)
                        .put("bytes_per_member_s", (fleet.bytes() - before.bytes) / memberSeconds)
                        .put("view_bytes", before.viewBytes())
                        .put("wall_s", wall / 1_000_000_000)
                        .put("steps_per_s", time.carriedOut() / (wall / 1e9)),
                faults,
                seconds,
                finished);
    }
}

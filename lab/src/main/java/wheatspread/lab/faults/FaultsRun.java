package wheatspread.lab.faults;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.json.JSONArray;
import org.json.JSONObject;
import wheatspread.lab.rig.Rig;
import wheatspread.lab.rig.RigServer;
import wheatspread.lab.standins.ControlClient;
import wheatspread.lab.standins.StandInAddress;
import wheatspread.lab.world.InvariantChecker;

/**
 * Plays one scenario with real processes, each with its own kernel, with load from proxies and with relays on
 * every link between servers. What always has to hold is read from the processes' own logs and doors.
 */
public final class FaultsRun {
    private static final String CLUSTER = "lab";
    private static final long FORM_MS = 40_000;
    private static final long LOOK_MS = 50;
    private static final long GARBAGE_EVERY_MS = 2;
    private static final int TAIL_LINES = 6;

    private final Path jar;
    private final List<String> flags;
    private final Scenario scenario;
    private final long seed;
    private final List<String> faults = new ArrayList<>();
    private final Verdict verdict = new Verdict();
    /** Members whose process was ended and not followed by another. */
    private final Set<String> ended = new HashSet<>();
    /** Whoever ends by itself has crashed, but for these. */
    private final Set<String> left = new HashSet<>();

    private Rig rig;
    private Relays relays;
    private long begin;

    /** What came of it; {@code faults} is empty where all held. */
    public record Outcome(JSONObject figures, List<String> violations) {}

    /** {@code flags} are those of the servers' JVMs. */
    public FaultsRun(Path jar, List<String> flags, Scenario scenario, long seed) {
        this.jar = jar;
        this.flags = flags;
        this.scenario = scenario;
        this.seed = seed;
    }

    /** Once an object. */
    public Outcome run() throws Exception {
        try (Rig made = new Rig(jar, flags, scenario.members())) {
            rig = made;
            LinkModel links = new LinkModel(new SplittableRandom(seed));
            try (Relays between = relays(links)) {
                relays = between;
                long formed = System.nanoTime();
                rig.start();
                JSONObject figures = new JSONObject()
                        .put("seed", seed)
                        .put("members", scenario.members().size());
                if (converge(scenario.members().size(), FORM_MS) < 0) {
                    faults.add("no fleet was formed within " + FORM_MS + " ms: " + states());
                    return new Outcome(figures, faults);
                }
                figures.put("formed_ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - formed));
                readLogs();
                Set<String> before = new HashSet<>(verdict.views());
                rig.world().setRequestRate(scenario.loadPerSecond());
                befall();
                judge(before, figures);
                return new Outcome(figures, faults);
            }
        }
    }

    private Relays relays(LinkModel links) throws IOException {
        Map<String, InetSocketAddress> real = new LinkedHashMap<>();
        Map<String, InetSocketAddress> advertised = new LinkedHashMap<>();
        for (String name : scenario.members()) {
            real.put(name, rig.address());
            advertised.put(name, rig.address());
        }
        JSONArray seeds = new JSONArray();
        scenario.members()
                .subList(0, scenario.seedCount())
                .forEach(one -> seeds.put(StandInAddress.format(advertised.get(one))));
        for (String name : scenario.members()) {
            rig.member(name)
                    .setOperatorConfig(
                            new JSONObject()
                                    .put(
                                            "membership",
                                            new JSONObject()
                                                    .put("cluster", CLUSTER)
                                                    .put("listen", StandInAddress.format(real.get(name)))
                                                    .put("advertise", StandInAddress.format(advertised.get(name)))
                                                    .put("seeds", seeds)
                                                    .put(
                                                            "zone",
                                                            scenario.zones().get(name))),
                            rig.address());
        }
        return new Relays(links, CLUSTER, real, advertised, seed);
    }

    // ---- what befalls them ----

    private void sleepUntil(long at) throws InterruptedException {
        long wait = begin + at - Relays.micros();
        if (wait > 0) {
            TimeUnit.MICROSECONDS.sleep(wait);
        }
    }

    /** Carries all faults out and waits for the end of the last. */
    private void befall() throws Exception {
        begin = Relays.micros();
        relays.beginAt(begin);
        ExecutorService hands = Executors.newCachedThreadPool();
        try {
            List<Future<Void>> going = new ArrayList<>();
            for (Fault one : scenario.faults()) {
                if (one.kind().isOfLinks()) {
                    going.add(hands.submit(() -> {
                        sleepUntil(one.beginMicros());
                        relays.begin(one);
                        sleepUntil(one.endMicros());
                        relays.end(one);
                        return null;
                    }));
                } else {
                    for (String name : one.on()) {
                        going.add(hands.submit(deed(one, rig.member(name))));
                    }
                }
            }
            for (Future<Void> one : going) {
                one.get();
            }
        } finally {
            hands.shutdownNow();
        }
    }

    private Callable<Void> deed(Fault fault, RigServer member) {
        return () -> {
            sleepUntil(fault.beginMicros());
            long millis = fault.durationMicros() / 1_000;
            switch (fault.kind()) {
                case PAUSE -> {
                    excuse(member, millis);
                    member.pause(millis);
                }
                case STARVE -> {
                    excuse(member, millis);
                    member.starve(fault.share(), millis);
                }
                case KILL -> {
                    gone(member);
                    member.kill();
                }
                case RESTART -> {
                    gone(member);
                    member.kill();
                    synchronized (this) {
                        verdict.read(member.name(), member.log().lines());
                        ended.remove(member.name());
                    }
                    member.start();
                }
                case LEAVE -> {
                    synchronized (this) {
                        ended.add(member.name());
                        left.add(member.name());
                    }
                    int code = member.terminate();
                    if (code != 0) {
                        fault(member.name() + " left with " + code + ": " + tail(member));
                    }
                }
                case GARBAGE -> {
                    while (Relays.micros() < begin + fault.endMicros()) {
                        relays.garbage(member.name());
                        TimeUnit.MILLISECONDS.sleep(GARBAGE_EVERY_MS);
                    }
                }
                default -> throw new IllegalStateException(fault.kind().name());
            }
            return null;
        };
    }

    private synchronized void gone(RigServer member) {
        ended.add(member.name());
        rig.world().recordKill(member.name());
    }

    private void excuse(RigServer member, long millis) {
        long now = System.currentTimeMillis();
        rig.world().recordPause(member.name(), now, now + millis);
    }

    private synchronized void fault(String text) {
        faults.add(text);
    }

    // ---- what came of it ----

    private void judge(Set<String> before, JSONObject figures) throws Exception {
        int size = scenario.expect().finalMembers() >= 0
                ? scenario.expect().finalMembers()
                : scenario.members().size() - ended.size();
        long within = scenario.expect().convergenceMicros() / 1_000;
        long took = scenario.losesQuorum() ? standStill(within) : converge(size, within);
        figures.put("converged_ms", took);
        if (took < 0) {
            faults.add("no view of " + size + " on all within " + within + " ms of the last fault's end: " + states());
        }
        sleepUntil(scenario.runMicros());
        if (scenario.loadPerSecond() > 0) {
            figures.put("open_at_end", rig.settle());
            InvariantChecker checker = rig.world().checker();
            faults.addAll(checker.violations());
            figures.put("load", checker.figures());
        }
        if (took >= 0 && (scenario.losesQuorum() ? standStill(LOOK_MS) : converge(size, LOOK_MS)) < 0) {
            faults.add("the view did not last until the end: " + states());
        }
        readLogs();
        faults.addAll(verdict.faults());
        for (RigServer member : rig.members()) {
            if (!member.isAlive() && !ended.contains(member.name())) {
                faults.add(member.name() + " has ended by itself: " + tail(member));
            }
        }
        int views = verdict.viewsBesides(before);
        figures.put("views", views).put("missed", new JSONArray(verdict.missed()));
        if (scenario.expect().maxViews() >= 0 && views > scenario.expect().maxViews()) {
            faults.add(views + " views, and " + scenario.expect().maxViews() + " at most were expected: "
                    + verdict.views());
        }
        Set<String> gone = scenario.expect().missedMembers();
        if (gone != null && !gone.equals(verdict.missed())) {
            faults.add("missed were " + verdict.missed() + "; expected " + new TreeSet<>(gone));
        }
    }

    private synchronized void readLogs() {
        for (RigServer member : rig.members()) {
            if (member.log() != null) {
                verdict.read(member.name(), member.log().lines());
            }
        }
    }

    /**
     * Waits until all that live say that they are in one view of that size and that it stands; returns
     * after how many ms that was first seen, or -1.
     */
    private long converge(int size, long millis) throws InterruptedException {
        return await(() -> agree(size), millis);
    }

    /** The same until all that live say that their view does not stand. */
    private long standStill(long millis) throws InterruptedException {
        return await(
                () -> rig.members().stream()
                        .filter(one -> !ended.contains(one.name()))
                        .map(one -> ControlClient.members(one.controlAddress()))
                        .allMatch(told -> told != null && told.getBoolean("in") && !told.getBoolean("stands")),
                millis);
    }

    private static long await(BooleanSupplier wanted, long millis) throws InterruptedException {
        long from = System.nanoTime();
        do {
            if (wanted.getAsBoolean()) {
                return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
            }
            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
        } while (System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(millis));
        return -1;
    }

    private boolean agree(int size) {
        Set<String> views = new HashSet<>();
        for (RigServer member : rig.members()) {
            if (ended.contains(member.name())) {
                continue;
            }
            JSONObject told = ControlClient.members(member.controlAddress());
            if (told == null
                    || !told.getBoolean("stands")
                    || told.getJSONArray("members").length() != size) {
                return false;
            }
            views.add(told.getLong("epoch") + "." + told.getLong("number"));
        }
        return views.size() == 1;
    }

    /** What each says, in short. */
    private String states() {
        Map<String, String> states = new HashMap<>();
        for (RigServer member : rig.members()) {
            JSONObject told = ended.contains(member.name()) ? null : ControlClient.members(member.controlAddress());
            states.put(
                    member.name(),
                    told == null
                            ? "silent"
                            : told.getLong("epoch") + "."
                                    + told.getLong("number") + " of "
                                    + told.getJSONArray("members").length()
                                    + (told.getBoolean("in") ? "" : " outside")
                                    + (told.getBoolean("stands") ? "" : " old: " + told.getString("why_not"))
                                    + suspected(told));
        }
        return states.toString();
    }

    private static String suspected(JSONObject told) {
        StringBuilder text = new StringBuilder();
        for (Object each : told.getJSONArray("members")) {
            JSONObject one = (JSONObject) each;
            if (!one.getJSONArray("suspected_by").isEmpty()
                    || !one.getJSONArray("missed_by").isEmpty()) {
                text.append(" ")
                        .append(one.getString("name"))
                        .append(" suspected by ")
                        .append(one.getJSONArray("suspected_by"))
                        .append(" missed by ")
                        .append(one.getJSONArray("missed_by"));
            }
        }
        return text.toString();
    }

    private static String tail(RigServer member) {
        List<String> lines = member.log().lines();
        return String.join(" / ", lines.subList(Math.max(0, lines.size() - TAIL_LINES), lines.size()));
    }
}

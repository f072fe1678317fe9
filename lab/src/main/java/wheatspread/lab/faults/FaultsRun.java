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
 * Runs one fault scenario with real server processes, each with a simulated kernel, under load from proxies and
 * with relays on every link between servers. The invariants are checked with the processes' logs and the answers
 * of their control addresses. An instance performs one run.
 */
public final class FaultsRun {
    private static final String CLUSTER = "lab";
    private static final long FORM_TIMEOUT_MS = 40_000;
    private static final long POLL_MS = 50;
    private static final long GARBAGE_INTERVAL_MS = 2;
    private static final int MAX_TAIL_LINES = 6;

    private final Path jar;
    private final List<String> flags;
    private final Scenario scenario;
    private final long seed;
    private final List<String> violations = new ArrayList<>();
    private final ViewChecker viewChecker = new ViewChecker();
    /** Members whose process was ended and not restarted. */
    private final Set<String> ended = new HashSet<>();
    /** Members that received SIGTERM; any other process that exits by itself has crashed. */
    private final Set<String> terminated = new HashSet<>();

    private Rig rig;
    private Relays relays;
    private long beginMicros;

    /** Figures of one run; {@code violations} is empty if every invariant and expectation held. */
    public record Outcome(JSONObject figures, List<String> violations) {}

    /** Creates a run; {@code flags} are the JVM flags of the servers. */
    public FaultsRun(Path jar, List<String> flags, Scenario scenario, long seed) {
        this.jar = jar;
        this.flags = flags;
        this.scenario = scenario;
        this.seed = seed;
    }

    /** Performs the run; to be called once per instance. */
    public Outcome run() throws Exception {
        try (Rig startedRig = new Rig(jar, flags, scenario.members())) {
            rig = startedRig;
            LinkModel links = new LinkModel(new SplittableRandom(seed));
            try (Relays startedRelays = createRelays(links)) {
                relays = startedRelays;
                long startNanos = System.nanoTime();
                rig.start();
                JSONObject figures = new JSONObject()
                        .put("seed", seed)
                        .put("members", scenario.members().size());
                if (converge(scenario.members().size(), FORM_TIMEOUT_MS) < 0) {
                    violations.add("no cluster was formed within " + FORM_TIMEOUT_MS + " ms: " + describeStates());
                    return new Outcome(figures, violations);
                }
                figures.put("formed_ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
                readLogs();
                Set<String> viewsBefore = new HashSet<>(viewChecker.views());
                rig.world().setRequestRate(scenario.loadPerSecond());
                injectFaults();
                checkOutcome(viewsBefore, figures);
                return new Outcome(figures, violations);
            }
        }
    }

    private Relays createRelays(LinkModel links) throws IOException {
        Map<String, InetSocketAddress> real = new LinkedHashMap<>();
        Map<String, InetSocketAddress> advertised = new LinkedHashMap<>();
        for (String name : scenario.members()) {
            real.put(name, rig.address());
            advertised.put(name, rig.address());
        }
        JSONArray seeds = new JSONArray();
        scenario.members()
                .subList(0, scenario.seedCount())
                .forEach(name -> seeds.put(StandInAddress.format(advertised.get(name))));
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

    private void sleepUntil(long offsetMicros) throws InterruptedException {
        long waitMicros = beginMicros + offsetMicros - Relays.micros();
        if (waitMicros > 0) {
            TimeUnit.MICROSECONDS.sleep(waitMicros);
        }
    }

    /** Injects all faults and waits until the last one ends. */
    private void injectFaults() throws Exception {
        beginMicros = Relays.micros();
        relays.beginAt(beginMicros);
        ExecutorService executor = Executors.newCachedThreadPool();
        try {
            List<Future<Void>> pending = new ArrayList<>();
            for (Fault scheduled : scenario.faults()) {
                if (scheduled.kind().isLinkFault()) {
                    pending.add(executor.submit(() -> {
                        sleepUntil(scheduled.beginMicros());
                        relays.begin(scheduled);
                        sleepUntil(scheduled.endMicros());
                        relays.end(scheduled);
                        return null;
                    }));
                } else {
                    for (String name : scheduled.on()) {
                        pending.add(executor.submit(createTask(scheduled, rig.member(name))));
                    }
                }
            }
            for (Future<Void> injection : pending) {
                injection.get();
            }
        } finally {
            executor.shutdownNow();
        }
    }

    private Callable<Void> createTask(Fault fault, RigServer member) {
        return () -> {
            sleepUntil(fault.beginMicros());
            long millis = fault.durationMicros() / 1_000;
            switch (fault.kind()) {
                case PAUSE -> {
                    recordPause(member, millis);
                    member.pause(millis);
                }
                case STARVE -> {
                    recordPause(member, millis);
                    member.starve(fault.share(), millis);
                }
                case KILL -> {
                    recordKill(member);
                    member.kill();
                }
                case RESTART -> {
                    recordKill(member);
                    member.kill();
                    synchronized (this) {
                        viewChecker.read(member.name(), member.log().lines());
                        ended.remove(member.name());
                    }
                    member.start();
                }
                case LEAVE -> {
                    synchronized (this) {
                        ended.add(member.name());
                        terminated.add(member.name());
                    }
                    int code = member.terminate();
                    if (code != 0) {
                        addViolation(member.name() + " exited with code " + code + " after SIGTERM, log: "
                                + logTail(member));
                    }
                }
                case GARBAGE -> {
                    while (Relays.micros() < beginMicros + fault.endMicros()) {
                        relays.sendGarbage(member.name());
                        TimeUnit.MILLISECONDS.sleep(GARBAGE_INTERVAL_MS);
                    }
                }
                default -> throw new IllegalStateException(fault.kind().name());
            }
            return null;
        };
    }

    private synchronized void recordKill(RigServer member) {
        ended.add(member.name());
        rig.world().recordKill(member.name());
    }

    private void recordPause(RigServer member, long millis) {
        long nowMillis = System.currentTimeMillis();
        rig.world().recordPause(member.name(), nowMillis, nowMillis + millis);
    }

    private synchronized void addViolation(String text) {
        violations.add(text);
    }

    private void checkOutcome(Set<String> viewsBefore, JSONObject figures) throws Exception {
        int size = scenario.expect().finalMembers() >= 0
                ? scenario.expect().finalMembers()
                : scenario.members().size() - ended.size();
        long timeoutMillis = scenario.expect().convergenceMicros() / 1_000;
        long convergedMillis = scenario.losesQuorum() ? awaitQuorumLoss(timeoutMillis) : converge(size, timeoutMillis);
        figures.put("converged_ms", convergedMillis);
        if (convergedMillis < 0) {
            violations.add("running members did not agree on a view of " + size + " within " + timeoutMillis
                    + " ms after the last fault: " + describeStates());
        }
        sleepUntil(scenario.runMicros());
        if (scenario.loadPerSecond() > 0) {
            figures.put("open_at_end", rig.settle());
            InvariantChecker checker = rig.world().checker();
            violations.addAll(checker.violations());
            figures.put("load", checker.figures());
        }
        if (convergedMillis >= 0 && (scenario.losesQuorum() ? awaitQuorumLoss(POLL_MS) : converge(size, POLL_MS)) < 0) {
            violations.add("the converged state did not last until the end of the run: " + describeStates());
        }
        readLogs();
        violations.addAll(viewChecker.violations());
        for (RigServer member : rig.members()) {
            if (!member.isAlive() && !ended.contains(member.name())) {
                violations.add(member.name() + " exited unexpectedly, log: " + logTail(member));
            }
        }
        int views = viewChecker.viewsBesides(viewsBefore);
        figures.put("views", views).put("missed", new JSONArray(viewChecker.missed()));
        if (scenario.expect().maxViews() >= 0 && views > scenario.expect().maxViews()) {
            violations.add(views + " views, and " + scenario.expect().maxViews() + " at most were expected: "
                    + viewChecker.views());
        }
        Set<String> expectedMissed = scenario.expect().missedMembers();
        if (expectedMissed != null && !expectedMissed.equals(viewChecker.missed())) {
            violations.add("members missed by their observers were " + viewChecker.missed() + ", expected "
                    + new TreeSet<>(expectedMissed));
        }
    }

    private synchronized void readLogs() {
        for (RigServer member : rig.members()) {
            if (member.log() != null) {
                viewChecker.read(member.name(), member.log().lines());
            }
        }
    }

    /**
     * Waits until all running members report the same view of {@code size} members and that it has a quorum.
     * Returns the milliseconds until that was first seen, or -1 if it is not seen within {@code millis}.
     */
    private long converge(int size, long millis) throws InterruptedException {
        return await(() -> membersAgree(size), millis);
    }

    /** Like {@link #converge}, but waits until all running members report that their view has no quorum. */
    private long awaitQuorumLoss(long millis) throws InterruptedException {
        return await(
                () -> rig.members().stream()
                        .filter(member -> !ended.contains(member.name()))
                        .map(member -> ControlClient.members(member.controlAddress()))
                        .allMatch(report -> report != null && report.getBoolean("in") && !report.getBoolean("stands")),
                millis);
    }

    private static long await(BooleanSupplier condition, long millis) throws InterruptedException {
        long startNanos = System.nanoTime();
        do {
            if (condition.getAsBoolean()) {
                return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        } while (System.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(millis));
        return -1;
    }

    private boolean membersAgree(int size) {
        Set<String> views = new HashSet<>();
        for (RigServer member : rig.members()) {
            if (ended.contains(member.name())) {
                continue;
            }
            JSONObject report = ControlClient.members(member.controlAddress());
            if (report == null
                    || !report.getBoolean("stands")
                    || report.getJSONArray("members").length() != size) {
                return false;
            }
            views.add(report.getLong("epoch") + "." + report.getLong("number"));
        }
        return views.size() == 1;
    }

    /** Returns each member's reported view and suspicions in short, for violation texts. */
    private String describeStates() {
        Map<String, String> states = new HashMap<>();
        for (RigServer member : rig.members()) {
            JSONObject report = ended.contains(member.name()) ? null : ControlClient.members(member.controlAddress());
            states.put(
                    member.name(),
                    report == null
                            ? "silent"
                            : report.getLong("epoch") + "."
                                    + report.getLong("number") + " of "
                                    + report.getJSONArray("members").length()
                                    + (report.getBoolean("in") ? "" : " outside")
                                    + (report.getBoolean("stands") ? "" : " old: " + report.getString("why_not"))
                                    + describeSuspicions(report));
        }
        return states.toString();
    }

    private static String describeSuspicions(JSONObject report) {
        StringBuilder text = new StringBuilder();
        for (Object each : report.getJSONArray("members")) {
            JSONObject member = (JSONObject) each;
            if (!member.getJSONArray("suspected_by").isEmpty()
                    || !member.getJSONArray("missed_by").isEmpty()) {
                text.append(" ")
                        .append(member.getString("name"))
                        .append(" suspected by ")
                        .append(member.getJSONArray("suspected_by"))
                        .append(" missed by ")
                        .append(member.getJSONArray("missed_by"));
            }
        }
        return text.toString();
    }

    private static String logTail(RigServer member) {
        List<String> lines = member.log().lines();
        return String.join(" / ", lines.subList(Math.max(0, lines.size() - MAX_TAIL_LINES), lines.size()));
    }
}

package wheatspread.lab.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;
import wheatspread.lab.Sites;
import wheatspread.lab.rig.ProcessFigures;
import wheatspread.lab.rig.Rig;
import wheatspread.lab.rig.RigServer;
import wheatspread.lab.standins.StandInAddress;
import wheatspread.lab.world.InvariantChecker;
import wheatspread.lab.world.PlantedFault;

/** One soak run: starts servers, disturbs them as its plan says, and checks the invariants afterwards. */
public final class SoakRun {
    private static final long UNDISTURBED_MS = 1_000;
    /** The limit on the memory of a server process, as the deployments set it. */
    private static final long MAX_RESIDENT_BYTES = 192L << 20;

    private static final long DESCRIPTOR_TIMEOUT_MS = 15_000;
    /** What clients that behave may open at one server besides what is open before the disturbances. */
    private static final int EXTRA_DESCRIPTORS = 64;

    private static final List<String> FATAL_EVENTS =
            List.of("thread_failed", "loop_ended", "OutOfMemoryError", "store_fault", "NoClassDefFoundError");

    private final Path jar;
    private final List<String> flags;
    private final SoakPlan plan;
    private final PlantedFault planted;
    private final List<String> violations = new ArrayList<>();

    /** Creates a run of one seed on this jar with these JVM flags; {@code planted} is null for no planted fault. */
    public SoakRun(Path jar, List<String> flags, long seed, PlantedFault planted) {
        this.jar = jar;
        this.flags = flags;
        this.planted = planted;
        plan = SoakPlan.draw(seed);
    }

    /** The result of a run; {@code violations} is empty if every invariant held. */
    public record Outcome(String plan, JSONObject figures, List<String> violations) {}

    /** Performs the run. */
    public Outcome run() throws Exception {
        ExecutorService executor = Executors.newSingleThreadExecutor();
        try (Rig rig = new Rig(jar, flags, plan.servers(), plan.seed())) {
            Map<String, InetSocketAddress> fronts = configureUwsgi(rig);
            rig.start();
            Future<List<String>> store =
                    executor.submit(new StoreCycles(plan.seed(), planted == PlantedFault.LOST_WRITE));
            rig.world().keepUsingOpenConnections();
            rig.world().setRequestRate(plan.requestsPerSecond());
            rig.world().startUwsgiClients(fronts, plan.seed());
            TimeUnit.MILLISECONDS.sleep(UNDISTURBED_MS);
            Map<Long, Integer> descriptors = countDescriptors(rig);
            if (planted != null) {
                rig.world().plant(planted);
            }
            disturb(rig, fronts);
            rig.settle();
            violations.addAll(store.get());
            checkProcesses(rig, descriptors);
            InvariantChecker checker = rig.world().checker();
            violations.addAll(checker.violations());
            terminateAll(rig);
            return new Outcome(plan.toString(), checker.figures().put("seed", plan.seed()), List.copyOf(violations));
        } finally {
            executor.shutdownNow();
        }
    }

    private static Map<String, InetSocketAddress> configureUwsgi(Rig rig) throws IOException {
        Map<String, InetSocketAddress> fronts = new LinkedHashMap<>();
        for (RigServer member : rig.members()) {
            InetSocketAddress front = rig.address();
            fronts.put(member.name(), front);
            JSONObject defaults = new JSONObject()
                    .put("tenant", Sites.TENANTS.get(0))
                    .put("class", Sites.KINDS.get(0).name());
            JSONObject uwsgi =
                    new JSONObject().put("listen", StandInAddress.format(front)).put("defaults", defaults);
            member.setOperatorConfig(new JSONObject().put("uwsgi", uwsgi), rig.address());
        }
        return fronts;
    }

    private void disturb(Rig rig, Map<String, InetSocketAddress> fronts) throws Exception {
        ServerDisturber disturber = new ServerDisturber(rig, violations);
        List<InetSocketAddress> addresses = new ArrayList<>(fronts.values());
        addresses.addAll(rig.listenAddresses());
        MisbehavingClients clients = new MisbehavingClients(addresses, plan.misbehavingClients(), plan.seed());
        try {
            for (SoakPlan.Step step : plan.steps()) {
                TimeUnit.MILLISECONDS.sleep(step.pauseMillis());
                disturber.apply(step);
            }
            TimeUnit.MILLISECONDS.sleep(UNDISTURBED_MS);
        } finally {
            clients.close();
        }
    }

    private static Map<Long, Integer> countDescriptors(Rig rig) throws IOException {
        Map<Long, Integer> counts = new LinkedHashMap<>();
        for (RigServer member : rig.members()) {
            counts.put(member.pid(), ProcessFigures.descriptors(member.pid()));
        }
        return counts;
    }

    /** Checks that every process lives, keeps its limit on memory and has closed what misbehaving clients opened. */
    private void checkProcesses(Rig rig, Map<Long, Integer> descriptorsBefore)
            throws IOException, InterruptedException {
        for (RigServer member : rig.members()) {
            if (!member.isAlive()) {
                violations.add("exited: " + member.name() + ", log: " + member.logTail());
                continue;
            }
            long residentBytes = ProcessFigures.residentBytes(member.pid());
            if (residentBytes > MAX_RESIDENT_BYTES) {
                violations.add("memory: " + member.name() + " has " + residentBytes + " bytes resident");
            }
            Integer before = descriptorsBefore.get(member.pid());
            if (before != null) {
                checkDescriptors(member, before + EXTRA_DESCRIPTORS);
            }
        }
    }

    private void checkDescriptors(RigServer member, int limit) throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DESCRIPTOR_TIMEOUT_MS);
        int count = ProcessFigures.descriptors(member.pid());
        while (count > limit && System.nanoTime() < deadlineNanos) {
            TimeUnit.MILLISECONDS.sleep(100);
            count = ProcessFigures.descriptors(member.pid());
        }
        if (count > limit) {
            violations.add("descriptors: " + member.name() + " has " + count + ", expected at most " + limit);
        }
    }

    private void terminateAll(Rig rig) throws IOException, InterruptedException {
        for (RigServer member : rig.members()) {
            int code = member.isAlive() ? member.terminate() : 0;
            if (code != 0) {
                violations.add("exit_code: " + member.name() + " exited with " + code + ", log: " + member.logTail());
            }
            member.allLogLines().stream()
                    .filter(line -> FATAL_EVENTS.stream().anyMatch(line::contains))
                    .forEach(line -> violations.add("fatal_event: " + line));
        }
    }
}

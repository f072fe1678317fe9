package wheatspread.lab.rig;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.json.JSONObject;
import wheatspread.lab.Sites;
import wheatspread.lab.standins.ControlClient;
import wheatspread.lab.standins.StandInEndpoint;
import wheatspread.lab.standins.TemporaryFolders;
import wheatspread.lab.world.InvariantChecker;
import wheatspread.lab.world.World;

/**
 * Two processes of one server on one handed-over socket, under load: the new one comes while the old one
 * serves, and one of them leaves or dies.
 */
public final class HandoverRun {
    /** What becomes of the two. */
    public enum End {
        OLD_LEAVES,
        OLD_KILLED,
        NEW_DIES_BEFORE_READY
    }

    private static final String NAME = "n1";
    private static final long UP_MS = 30_000;
    private static final long STOP_MS = 3_700;
    private static final long LOAD_MS = 2_000;
    private static final long BOOT_LATE_MS = 1_500;
    private static final long DIES_MS = 400;
    private static final long LAST_ANSWERS_MS = 16_000;

    private final Path jar;
    private final List<String> flags;
    private final double rate;

    /** Runs of this jar with these JVM flags, at {@code rate} requests a second. */
    public HandoverRun(Path jar, List<String> flags, double rate) {
        this.jar = jar;
        this.flags = flags;
        this.rate = rate;
    }

    /** One run; {@code faults} is empty where every promise was kept. */
    public ReloadRun.Outcome run(End end, long seed) throws Exception {
        Random random = new Random(seed);
        List<String> faults = new ArrayList<>();
        Path dir = Files.createTempDirectory("wheatspread-handover");
        try (HandedSocket socket = new HandedSocket();
                ProcessSignals signals = new ProcessSignals();
                World world = new World(Map.of(NAME, new InetSocketAddress("127.0.0.1", socket.port())))) {
            Ports ports = new Ports();
            InetSocketAddress oldDoor = ports.next();
            InetSocketAddress newDoor = ports.next();
            List<ProcessHandle> all = new ArrayList<>();
            try {
                ProcessHandle old = start(dir, "old", socket, world, world.kernelEndpoint(NAME), oldDoor);
                all.add(old);
                await("the old one", () -> ControlClient.isReady(oldDoor));
                TimeUnit.MILLISECONDS.sleep(2_300); // proxies see the list late
                world.limitRequestsPerConnection(3);
                world.setRequestRate(rate);
                TimeUnit.MILLISECONDS.sleep(LOAD_MS);
                StandInEndpoint successorKernel =
                        world.createSuccessorKernel(NAME, end == End.NEW_DIES_BEFORE_READY ? UP_MS : BOOT_LATE_MS);
                ProcessHandle next = start(dir, "new", socket, world, successorKernel, newDoor);
                all.add(next);
                if (end == End.NEW_DIES_BEFORE_READY) {
                    await("the new one's kernel", () -> logged(dir, "new", "to=WAITING"));
                    TimeUnit.MILLISECONDS.sleep(DIES_MS + random.nextInt((int) DIES_MS));
                    signals.send("KILL", next);
                    socket.awaitEnd(next, UP_MS);
                } else {
                    await("the new one", () -> ControlClient.isReady(newDoor));
                    TimeUnit.MILLISECONDS.sleep(random.nextInt(300));
                    if (end == End.OLD_KILLED) {
                        world.excuseLosses(NAME, 500);
                    }
                    signals.send(end == End.OLD_KILLED ? "KILL" : "TERM", old);
                    faults.addAll(endFaults(end, socket.awaitEnd(old, STOP_MS), dir));
                }
                TimeUnit.MILLISECONDS.sleep(LOAD_MS);
                world.setRequestRate(0);
                awaitAnswers(world);
                ProcessHandle last = end == End.NEW_DIES_BEFORE_READY ? old : next;
                if (!last.isAlive()) {
                    faults.add("the process that was to stay is gone: " + tail(dir, "new"));
                }
            } finally {
                for (ProcessHandle one : all) {
                    one.destroyForcibly();
                }
            }
            InvariantChecker checker = world.checker();
            faults.addAll(checker.violations());
            JSONObject figures = checker.figures().put("seed", seed);
            if (end != End.OLD_KILLED && figures.getLong("refused") + figures.getLong("failed") > 0) {
                faults.add("refused or failed: " + figures);
            }
            return new ReloadRun.Outcome(figures, faults);
        } finally {
            TemporaryFolders.delete(dir);
        }
    }

    private static List<String> endFaults(End end, Integer code, Path dir) throws IOException {
        boolean wrong = code == null || end == End.OLD_LEAVES && code != 0;
        return wrong ? List.of("the old process ended with " + code + ": " + tail(dir, "old")) : List.of();
    }

    private static void awaitAnswers(World world) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LAST_ANSWERS_MS);
        while (world.countPendingAttempts() > 0 && System.nanoTime() < until) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    private ProcessHandle start(
            Path dir, String which, HandedSocket socket, World world, StandInEndpoint kernel, InetSocketAddress door)
            throws IOException, InterruptedException {
        Path config = Files.writeString(
                dir.resolve(which + ".json"),
                Sites.config(
                                kernel.text(),
                                world.recordsEndpoint().text(),
                                world.announceEndpoint().text(),
                                512,
                                1)
                        .put("name", NAME)
                        .put("listen", "127.0.0.1:" + socket.port())
                        .toString());
        List<String> command = new ArrayList<>(List.of(
                "/usr/bin/env",
                "GW_CONFIG=" + config,
                "GW_CONTROL=127.0.0.1:" + door.getPort(),
                "GW_INHERITED_FD=0",
                "TMPDIR=" + dir,
                Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(flags);
        command.addAll(List.of("-jar", jar.toAbsolutePath().toString(), "serve"));
        return socket.start(dir.resolve(which + ".log"), command);
    }

    private static void await(String what, BooleanSupplier there) throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(UP_MS);
        while (!there.getAsBoolean()) {
            if (System.nanoTime() > until) {
                throw new IOException(what + " does not come up");
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    private static boolean logged(Path dir, String which, String text) {
        return tail(dir, which).contains(text);
    }

    private static String tail(Path dir, String which) {
        try {
            return Files.readString(dir.resolve(which + ".log"));
        } catch (IOException e) {
            return "";
        }
    }
}

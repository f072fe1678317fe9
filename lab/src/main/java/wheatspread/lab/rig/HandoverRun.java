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
 * Runs two processes of one server on one inherited socket, under load: the new process starts while the old one
 * serves, and then one of them is terminated or killed.
 */
public final class HandoverRun {
    /** How the handover ends. */
    public enum End {
        OLD_LEAVES,
        OLD_KILLED,
        NEW_DIES_BEFORE_READY
    }

    private static final String NAME = "n1";
    private static final long READY_TIMEOUT_MS = 30_000;
    private static final long MAX_STOP_MS = 3_700;
    private static final long LOAD_MS = 2_000;
    private static final long HANDSHAKE_DELAY_MS = 1_500;
    private static final long MIN_KILL_DELAY_MS = 400;
    private static final long PENDING_TIMEOUT_MS = 16_000;

    private final Path jar;
    private final List<String> flags;
    private final double rate;

    /** Creates runs of this jar with these JVM flags, at {@code rate} requests per second. */
    public HandoverRun(Path jar, List<String> flags, double rate) {
        this.jar = jar;
        this.flags = flags;
        this.rate = rate;
    }

    /** Performs one run; the outcome's {@code violations} is empty if every invariant held. */
    public ReloadRun.Outcome run(End end, long seed) throws Exception {
        Random random = new Random(seed);
        List<String> violations = new ArrayList<>();
        Path folder = Files.createTempDirectory("wheatspread-handover");
        try (InheritedSocket socket = new InheritedSocket();
                ProcessSignals signals = new ProcessSignals();
                World world = new World(Map.of(NAME, new InetSocketAddress("127.0.0.1", socket.port())))) {
            Ports ports = new Ports();
            InetSocketAddress oldControl = ports.next();
            InetSocketAddress newControl = ports.next();
            List<ProcessHandle> processes = new ArrayList<>();
            try {
                ProcessHandle oldProcess = start(folder, "old", socket, world, world.kernelEndpoint(NAME), oldControl);
                processes.add(oldProcess);
                await("the old process", () -> ControlClient.isReady(oldControl));
                TimeUnit.MILLISECONDS.sleep(2_300); // proxies see the announced server with a delay
                world.limitRequestsPerConnection(3);
                world.setRequestRate(rate);
                TimeUnit.MILLISECONDS.sleep(LOAD_MS);
                StandInEndpoint successorKernel = world.createSuccessorKernel(
                        NAME, end == End.NEW_DIES_BEFORE_READY ? READY_TIMEOUT_MS : HANDSHAKE_DELAY_MS);
                ProcessHandle newProcess = start(folder, "new", socket, world, successorKernel, newControl);
                processes.add(newProcess);
                if (end == End.NEW_DIES_BEFORE_READY) {
                    await("the kernel link of the new process", () -> logContains(folder, "new", "to=WAITING"));
                    TimeUnit.MILLISECONDS.sleep(MIN_KILL_DELAY_MS + random.nextInt((int) MIN_KILL_DELAY_MS));
                    signals.send("KILL", newProcess);
                    socket.awaitEnd(newProcess, READY_TIMEOUT_MS);
                } else {
                    await("the new process", () -> ControlClient.isReady(newControl));
                    TimeUnit.MILLISECONDS.sleep(random.nextInt(300));
                    if (end == End.OLD_KILLED) {
                        world.excuseLosses(NAME, 500);
                    }
                    signals.send(end == End.OLD_KILLED ? "KILL" : "TERM", oldProcess);
                    violations.addAll(checkExitStatus(end, socket.awaitEnd(oldProcess, MAX_STOP_MS), folder));
                }
                TimeUnit.MILLISECONDS.sleep(LOAD_MS);
                world.setRequestRate(0);
                awaitPendingAttempts(world);
                ProcessHandle remaining = end == End.NEW_DIES_BEFORE_READY ? oldProcess : newProcess;
                if (!remaining.isAlive()) {
                    violations.add("the remaining process has exited, log of the new one: " + readLog(folder, "new"));
                }
            } finally {
                for (ProcessHandle process : processes) {
                    process.destroyForcibly();
                }
            }
            InvariantChecker checker = world.checker();
            violations.addAll(checker.violations());
            JSONObject figures = checker.figures().put("seed", seed);
            if (end != End.OLD_KILLED && figures.getLong("refused") + figures.getLong("failed") > 0) {
                violations.add("refused or failed: " + figures);
            }
            return new ReloadRun.Outcome(figures, violations);
        } finally {
            TemporaryFolders.delete(folder);
        }
    }

    private static List<String> checkExitStatus(End end, Integer status, Path folder) throws IOException {
        boolean unexpected = status == null || end == End.OLD_LEAVES && status != 0;
        return unexpected
                ? List.of("old process ended with status " + status + ", log: " + readLog(folder, "old"))
                : List.of();
    }

    private static void awaitPendingAttempts(World world) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PENDING_TIMEOUT_MS);
        while (world.countPendingAttempts() > 0 && System.nanoTime() < deadlineNanos) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    private ProcessHandle start(
            Path folder,
            String processName,
            InheritedSocket socket,
            World world,
            StandInEndpoint kernel,
            InetSocketAddress controlAddress)
            throws IOException, InterruptedException {
        Path config = Files.writeString(
                folder.resolve(processName + ".json"),
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
                "GW_CONTROL=127.0.0.1:" + controlAddress.getPort(),
                "GW_INHERITED_FD=0",
                "TMPDIR=" + folder,
                Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(flags);
        command.addAll(List.of("-jar", jar.toAbsolutePath().toString(), "serve"));
        return socket.start(folder.resolve(processName + ".log"), command);
    }

    private static void await(String awaited, BooleanSupplier condition) throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IOException(awaited + " not ready within " + READY_TIMEOUT_MS + " ms");
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    private static boolean logContains(Path folder, String processName, String text) {
        return readLog(folder, processName).contains(text);
    }

    private static String readLog(Path folder, String processName) {
        try {
            return Files.readString(folder.resolve(processName + ".log"));
        } catch (IOException e) {
            return "";
        }
    }
}

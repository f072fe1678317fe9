package wheatspread.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wheatspread.config.JsonFields;
import wheatspread.config.LifeConfig;
import wheatspread.config.OperatorConfig;
import wheatspread.config.ServerConfig;
import wheatspread.lifecycle.DrainDeadlines;
import wheatspread.lifecycle.Lifecycle.Event;
import wheatspread.lifecycle.Lifecycle.Phase;
import wheatspread.logging.EventLog;

/** Tests the start of a process, its marker files, and its exit if it cannot start. */
@Timeout(30)
class StartTest {
    @TempDir
    private Path dir;

    private final List<String> logged = Collections.synchronizedList(new ArrayList<>());

    private Server server(String listen, LifeConfig life) throws IOException {
        JSONObject json =
                new JSONObject(Files.readString(Path.of("src/test/resources/config.json"))).put("listen", listen);
        return new Server(
                ServerConfig.read(JsonFields.of(json.toMap(), "")),
                OperatorConfig.DEFAULT.with(life, true),
                (loop, turns) -> new EventLoopClock(turns),
                EventLog.lines(logged::add));
    }

    private static void await(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(15);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime())
                    .as("condition did not hold within 15 s")
                    .isLessThan(deadlineNanos);
            Thread.onSpinWait();
        }
    }

    @Test
    void startFailsWithTheAddressThatIsInUse() throws Exception {
        try (ServerSocket occupiedSocket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String address = "127.0.0.1:" + occupiedSocket.getLocalPort();
            Server server = server(address, LifeConfig.DEFAULT);
            assertThatThrownBy(server::start)
                    .isInstanceOf(IllegalStateException.class)
                    .hasMessageContaining("cannot listen on")
                    .hasMessageContaining(address);
            assertThat(server.awaitStopped()).isEqualTo(69);
        }
    }

    @Test
    void drainSignalBeforeBindingEndsTheStart() throws Exception {
        Server server = server("127.0.0.1:0", LifeConfig.DEFAULT);
        server.signal(Event.RELOAD);
        server.signal(Event.DRAIN);
        await(() -> server.phase() == Phase.STOPPED);
        server.warmUp();
        assertThat(server.start()).isFalse();
        assertThat(server.awaitStopped()).isZero();
        Server warmingServer = server("127.0.0.1:0", LifeConfig.DEFAULT);
        Thread signalThread = new Thread(() -> {
            await(() -> warmingServer.phase() == Phase.WARMING_UP);
            warmingServer.signal(Event.DRAIN);
        });
        signalThread.start();
        warmingServer.warmUp();
        signalThread.join();
        await(() -> warmingServer.phase() == Phase.STOPPED);
        assertThat(warmingServer.start()).isFalse();
        assertThat(warmingServer.awaitStopped()).isZero();
        assertThat(logged).noneMatch(line -> line.startsWith("listening"));
    }

    /**
     * Guards against a reload that opens the kernel link during the warm-up. The link would then report the boot of the
     * kernel before the server handles that event, and the report is not repeated.
     */
    @Test
    void connectsToKernelAddressReloadedDuringWarmUp() throws Exception {
        List<TestConnection> links = Collections.synchronizedList(new ArrayList<>());
        try (ServerSocket kernels = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            kernels.setSoTimeout(10_000);
            JSONObject json = new JSONObject(Files.readString(Path.of("src/test/resources/config.json")))
                    .put("listen", "127.0.0.1:0")
                    .put("kernel", "127.0.0.1:" + kernels.getLocalPort());
            Server server = server("127.0.0.1:0", LifeConfig.DEFAULT);
            Thread kernel = new Thread(() -> bootEveryLink(kernels, links), "kernel");
            kernel.setDaemon(true);
            kernel.start();
            Thread reload = new Thread(() -> {
                await(() -> server.phase() == Phase.WARMING_UP);
                server.reload(() -> ServerConfig.read(JsonFields.of(json.toMap(), "")));
            });
            reload.start();
            server.warmUp();
            reload.join();
            await(() -> logged.stream().anyMatch(line -> line.startsWith("classes_reloaded")));
            assertThat(server.start()).isTrue();
            await(() -> server.phase() == Phase.SERVING);
            assertThat(logged).noneMatch(line -> line.startsWith("kernel_link_failed"));
            server.kill();
        } finally {
            for (TestConnection link : List.copyOf(links)) {
                link.close();
            }
        }
    }

    /**
     * Answers the handshake of every connection. Adds the connections to {@code links}: the garbage collector may close
     * the socket of an unreferenced connection while the server still uses it.
     */
    private static void bootEveryLink(ServerSocket kernels, List<TestConnection> links) {
        try {
            while (true) {
                TestConnection link = new TestConnection(kernels.accept());
                links.add(link);
                link.readLine();
                link.writeLine("{\"type\":\"BOOTED\",\"state\":\"WARM\",\"took\":5}");
            }
        } catch (IOException e) {
            // the test has ended
        }
    }

    @Test
    void onlyOneProcessTakesTheLockAndReadyFileExistsWhileServing() throws Exception {
        Path lock = dir.resolve("lock");
        Path ready = Files.writeString(dir.resolve("ready"), "of a killed process");
        Path report = dir.resolve("report");
        String operatorOverrides = new JSONObject()
                .put(
                        "life",
                        new JSONObject().put("ready_file", ready.toString()).put("report_file", report.toString()))
                .toString();
        try (ServerFixture fixture = new ServerFixture(operatorOverrides, "nio");
                TestConnection kernel = new TestConnection(fixture.kernelSocket.accept())) {
            kernel.readLine();
            kernel.writeLine("{\"type\":\"BOOTED\",\"state\":\"WARM\",\"took\":10}");
            await(() -> fixture.logged.stream().anyMatch(line -> line.contains("to=SERVING")));
            await(() -> read(ready).contains("\"name\":\"w1\""));
            fixture.server.drain();
            await(() -> !Files.exists(ready));
            fixture.clock().advance(3_000_000 + DrainDeadlines.LINGER_MICROS);
            assertThat(fixture.server.awaitStopped()).isZero();
            assertThat(new JSONObject(Files.readString(report)).getInt("unanswered"))
                    .isZero();
        }
        Server first = server("127.0.0.1:0", LifeConfig.DEFAULT.with(null, lock, null));
        first.lock("7");
        assertThat(new JSONObject(Files.readString(lock)).getString("mark")).isEqualTo("7");
        Server second = server("127.0.0.1:0", LifeConfig.DEFAULT.with(null, lock, null));
        assertThatThrownBy(() -> second.lock("8"))
                .isInstanceOf(ProcessMarkerFiles.LockTakenException.class)
                .hasMessageContaining("is already running");
        assertThat(new JSONObject(Files.readString(lock)).getString("mark")).isEqualTo("7");
        first.kill();
        second.kill();
    }

    private static String read(Path file) {
        try {
            return Files.exists(file) ? Files.readString(file) : "";
        } catch (IOException e) {
            return ""; // the file is being replaced
        }
    }
}

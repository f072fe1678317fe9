package wheatspread.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wheatspread.LargeSettings;
import wheatspread.config.JsonFields;
import wheatspread.config.ServerConfig;
import wheatspread.logging.EventLog;

/** Guards against a SIGHUP that is neither applied nor rejected, with large or invalid files and little memory. */
class ReloadAtSizeTest {
    @TempDir
    private Path dir;

    private Path config(String name, String text) throws IOException {
        return Files.writeString(dir.resolve(name), text);
    }

    private static Supplier<ServerConfig> reader(Path config) {
        return () -> ServerConfig.fromEnvironment(Map.of("GW_CONFIG", config.toString()));
    }

    private static void assertReloadCounts(ServerFixture fixture, int applied, int rejected) throws IOException {
        assertThat(ControlFrontTest.request(fixture.server.controlAddress(), "GET /_vars HTTP/1.1\r\n\r\n"))
                .contains("\nedge_gw.reload_success=" + applied + "\n", "\nedge_gw.reload_failure=" + rejected + "\n");
    }

    @Test
    @Timeout(60)
    void appliesOrRejectsEachConcurrentReload() throws Exception {
        String completeConfig = LargeSettings.config(LargeSettings.tenants(LargeSettings.TENANTS));
        Path validFile = config("good.json", completeConfig);
        Path truncatedFile = config("cut.json", completeConfig.substring(0, completeConfig.length() / 2));
        try (ServerFixture fixture = new ServerFixture()) {
            List<Thread> signalThreads = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                Path file = i % 2 == 0 ? validFile : truncatedFile;
                signalThreads.add(new Thread(() -> fixture.server.reload(reader(file)), "signal " + i));
            }
            signalThreads.forEach(Thread::start);
            for (Thread signalThread : signalThreads) {
                signalThread.join();
            }
            assertReloadCounts(fixture, 5, 5);
        }
    }

    @Test
    @Timeout(30)
    void countsAnyExceptionOfTheReaderAsRejection() throws Exception {
        try (ServerFixture fixture = new ServerFixture()) {
            fixture.server.reload(() -> {
                throw new OutOfMemoryError("of the test");
            });
            fixture.awaitLogged("reload_rejected reason=\"java.lang.OutOfMemoryError: of the test\"");
            fixture.server.reload(() -> {
                throw new NoClassDefFoundError("of the test");
            });
            assertReloadCounts(fixture, 0, 2);
        }
    }

    @Test
    @Timeout(30)
    void countsAnyExceptionOfTheApplierAsRejection() throws Exception {
        JSONObject json = new JSONObject(Files.readString(Path.of("src/test/resources/config.json")));
        ServerConfig config = ServerConfig.read(JsonFields.of(json.toMap(), ""));
        ConfigReloader reloader = new ConfigReloader(
                config,
                next -> {
                    throw new StackOverflowError("of the test");
                },
                EventLog.NONE);
        reloader.reload(() -> config);
        assertThat(reloader.rejectedCount()).isEqualTo(1);
        ServerConfig withoutKernel = new ServerConfig(
                "w1",
                config.listen(),
                null,
                config.records(),
                config.announce(),
                OptionalLong.of(1),
                1,
                64,
                config.site(),
                null,
                -1,
                null);
        try (ServerFixture fixture = new ServerFixture()) { // applies on the event loop's thread
            fixture.server.reload(() -> withoutKernel);
            assertReloadCounts(fixture, 0, 1);
            fixture.server.kill();
            fixture.server.reload(() -> config);
            fixture.awaitLogged("reload_rejected"); // the previous reload
            fixture.awaitLogged("reload_rejected reason=\"event executor terminated\"");
        }
    }

    /** Guards against a heap that is too small for a second configuration beside the current one. */
    @Test
    @Timeout(120)
    void handlesEverySighupWithTheDeployedHeapSize() throws Exception {
        try (ServerSocket kernels = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            List<TestConnection> links = Collections.synchronizedList(new ArrayList<>());
            Thread kernel = new Thread(() -> bootEveryLink(kernels, links), "kernel");
            kernel.setDaemon(true);
            kernel.start();
            String completeConfig = LargeSettings.config(LargeSettings.tenants(LargeSettings.TENANTS))
                    .replace("\"kernel\": \"127.0.0.1:9\"", "\"kernel\": \"127.0.0.1:" + kernels.getLocalPort() + "\"");
            Path file = config("config.json", completeConfig);
            Process process = LargeSettings.process("-Xmx48m", file, "serve").start();
            try (BufferedReader log = process.inputReader()) {
                await(log, "to=SERVING");
                for (int i = 0; i < 10; i++) {
                    boolean truncated = i % 5 == 4;
                    Files.writeString(
                            file,
                            truncated ? completeConfig.substring(0, completeConfig.length() / 2) : completeConfig);
                    signal("HUP", process);
                    await(log, truncated ? "reload_rejected" : "classes_reloaded");
                }
                signal("TERM", process);
                await(log, "to=STOPPED");
                assertThat(process.waitFor()).isZero();
            } finally {
                process.destroyForcibly();
                for (TestConnection link : List.copyOf(links)) {
                    link.close();
                }
            }
        }
    }

    private static void signal(String name, Process process) throws IOException, InterruptedException {
        assertThat(new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                        .start()
                        .waitFor())
                .isZero();
    }

    /** Answers the handshake of every connection and adds it to {@code links}, as a collector closes lost sockets. */
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

    /** Reads lines until one contains {@code text}. */
    private static void await(BufferedReader log, String text) throws IOException {
        List<String> skippedLines = new ArrayList<>();
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            if (line.contains(text)) {
                return;
            }
            skippedLines.add(line);
        }
        throw new AssertionError("expected a log line with \"" + text + "\", found " + skippedLines);
    }
}

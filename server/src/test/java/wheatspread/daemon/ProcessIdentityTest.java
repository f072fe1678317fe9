package wheatspread.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wheatspread.config.JsonFields;
import wheatspread.config.ServerConfig;
import wheatspread.uwsgi.UwsgiEncoder;
import wheatspread.uwsgi.UwsgiPacket;

/** Tests the identifiers that must differ between two processes that read the same configuration. */
@Timeout(60)
class ProcessIdentityTest {
    /** The round trips with the server after which a request is started or answered. */
    private static final int ROUNDS = 100;

    /** Guards against results of another process's runs: its jobs may still run in the kernel of a restarted server. */
    @Test
    void uwsgiJobIdsDifferBetweenProcessesWithTheSameConfiguration() throws Exception {
        assertThat(startedUwsgiJobs()).hasSize(1).doesNotContainAnyElementsOf(startedUwsgiJobs());
    }

    /** Guards against two runs of one key, in two processes that have the same process id in their containers. */
    @Test
    void keyRunsInOneOfTwoProcessesWithTheSameProcessId(@TempDir Path shared) throws Exception {
        Consumer<JSONObject> sharedClaims = configuration -> configuration.put("shared", shared.toString());
        try (RunningServer previous = new RunningServer(sharedClaims);
                RunningServer next = new RunningServer(sharedClaims)) {
            assertThat(startedKeyedJobs(previous)).hasSize(1);
            assertThat(startedKeyedJobs(next)).isEmpty();
        }
    }

    /** Guards against clients of several servers that are all told to retry after the same sequence of times. */
    @Test
    void retryAfterSeedsDifferBetweenProcessesWithoutAConfiguredSeed() throws IOException {
        JSONObject json = new JSONObject(Files.readString(Path.of("src/test/resources/config.json")));
        ServerConfig withSeed = ServerConfig.read(JsonFields.of(json.toMap(), ""));
        json.remove("seed");
        ServerConfig withoutSeed = ServerConfig.read(JsonFields.of(json.toMap(), ""));
        assertThat(ServerFactory.seedOf(withSeed)).isEqualTo(0x5eed);
        assertThat(ServerFactory.seedOf(withoutSeed)).isNotEqualTo(ServerFactory.seedOf(withoutSeed));
    }

    private static List<String> startedKeyedJobs(RunningServer server) throws IOException {
        try (TestConnection client = TestConnection.connect(server.fixture.uwsgi)) {
            client.write(uwsgiRequest(Map.of("PATH_INFO", "/plans", "RECIPE_UNIQUE", "key")));
            return server.awaitStartedJob();
        }
    }

    private static List<String> startedUwsgiJobs() throws IOException, InterruptedException {
        try (RunningServer server = new RunningServer(configuration -> {});
                TestConnection client = TestConnection.connect(server.fixture.uwsgi)) {
            client.write(uwsgiRequest(Map.of("PATH_INFO", "/stews/1")));
            return server.awaitStartedJob();
        }
    }

    private static byte[] uwsgiRequest(Map<String, String> vars) {
        ByteBuf packet = Unpooled.buffer();
        UwsgiEncoder.write(new UwsgiPacket(UwsgiPacket.REQUEST_MODIFIER, 0, vars), packet);
        return ByteBufUtil.getBytes(packet);
    }

    /** A server whose kernel starts no run: the test reads the kernel's commands. */
    private static final class RunningServer implements AutoCloseable {
        private final ServerFixture fixture;
        private final TestConnection kernel;

        RunningServer(Consumer<JSONObject> configuration) throws IOException, InterruptedException {
            fixture = new ServerFixture("{}", "nio", configuration);
            kernel = new TestConnection(fixture.kernelSocket.accept());
            kernel.readLine();
            kernel.writeLine("{\"type\":\"BOOTED\",\"state\":\"WARM\",\"took\":5}");
            kernel.writeLine("{\"type\":\"INFO\",\"gauges\":[0.2,1,0.1,2],\"ref\":\"sync\"}");
            fixture.awaitLogged("to=SERVING");
        }

        /** Returns the job id of the next run that the server starts; an empty list if it starts none. */
        List<String> awaitStartedJob() throws IOException {
            for (int round = 0; round < ROUNDS; round++) {
                fixture.clock().advance(0);
                while (kernel.available() > 0) {
                    JSONObject command = new JSONObject(kernel.readLine());
                    if (command.getString("type").equals("SCHED")) {
                        return List.of(command.getString("job"));
                    }
                }
            }
            return Collections.emptyList();
        }

        @Override
        public void close() throws IOException {
            kernel.close();
            fixture.close();
        }
    }
}

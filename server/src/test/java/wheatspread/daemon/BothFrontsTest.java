package wheatspread.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import wheatspread.config.JsonFields;
import wheatspread.config.ServerConfig;

/** Tests that the same requests have the same outcomes and counters over both protocols, which share one core. */
class BothFrontsTest {
    @Test
    void bothProtocolsGiveTheSameOutcomesAndCounters() throws Exception {
        try (ServerFixture fixture = new ServerFixture();
                SimulatedProxy proxy = new SimulatedProxy(fixture)) {
            SimulatedKernel kernel = new SimulatedKernel(fixture);
            start(kernel);
            start(() -> answerCalls(fixture));
            assertThat(fixture.nextAnnounced()).endsWith("{\"accepting\":\"true\"}");

            proxy.sendRequest("stew", "north", 5000, null, "ok-1");
            proxy.sendRequest("stew", "south", 5000, null, "error-2");
            proxy.sendRequest("stew", "south", 5000, null, "call-3");
            proxy.sendRequest("save", "north", 8000, "k1", "ok-4");
            proxy.sendRequest("save", "north", 8000, "k1", "ok-4");
            proxy.sendRequest("save", "north", 8000, "k1", "other-4");
            proxy.sendRequest("stew", "east", 5000, null, "ok-5");
            proxy.sendRequest("save", "south", 8000, null, "ok-6");
            assertOutcomes(
                    proxy,
                    Map.of(
                            "ok-1",
                            "served 1-ko",
                            "error-2",
                            "failed",
                            "call-3",
                            "served reply",
                            "ok-4",
                            "served 4-ko",
                            "other-4",
                            "conflict",
                            "ok-5",
                            "malformed",
                            "ok-6",
                            "malformed"));
            assertThat(Collections.frequency(kernel.runs, "ok-4"))
                    .as("runs of one idempotency key over both protocols")
                    .isOne();
            assertThat(Collections.frequency(kernel.runs, "ok-1")).isEqualTo(2);

            proxy.sendRequest("stew", "north", 900, null, "hang-7");
            fixture.clock().advance(900_000);
            assertOutcomes(proxy, Map.of("hang-7", "out of time"));

            proxy.sendRequest("save", "north", 8000, "k2", "hang-8");
            fixture.clock().advance(0);
            fixture.server.drain();
            fixture.clock().advance(2_600_000);
            proxy.sendRequest("stew", "north", 5000, null, "ok-9");
            fixture.clock().advance(1_400_000);
            assertOutcomes(proxy, Map.of("hang-8", "out of time", "ok-9", "refused"));
            fixture.server.awaitStopped();

            assertThat(fixture.announced.poll()).endsWith("{\"accepting\":\"false\"}");
            assertThat(kernel.runs).doesNotContain("ok-9").contains("hang-8");
            // per front: 4 served (ok-1, call-3, ok-4 twice), 4 failed (error-2, other-4, hang-7, hang-8), and ok-9
            // refused
            assertThat(fixture.server.requestCounters().toString())
                    .startsWith("read 18, served 8, refused 2, failed 8")
                    .contains("gone 0, runs 10, joins 4");
        }
    }

    /** Guards against a process that never exits and ignores SIGTERM after its event loop has terminated. */
    @Test
    @Timeout(20)
    void exitsWithSoftwareErrorWhenTheEventLoopTerminates() throws Exception {
        try (ServerFixture fixture = new ServerFixture()) {
            fixture.server.kill();
            assertThat(fixture.server.awaitStopped()).isEqualTo(Server.EXIT_EVENT_LOOP_ENDED);
        }
    }

    /** Guards against a warm-up whose requests are rejected, so that the code for served requests is not compiled. */
    @Test
    void warmUpServesItsRequests() throws Exception {
        JSONObject json = new JSONObject(Files.readString(Path.of("src/test/resources/config.json")));
        WarmUp warmUp =
                new WarmUp(ServerConfig.read(JsonFields.of(json.toMap(), "")).site());
        assertThat(warmUp.serveRequests(Long.MAX_VALUE / 2, () -> false)).isBetween(390, 400);
    }

    /** Asserts that the outcomes over both protocols are those expected. */
    private static void assertOutcomes(SimulatedProxy proxy, Map<String, String> outcomes) throws IOException {
        assertThat(proxy.readJsonRpcOutcomes()).isEqualTo(new TreeMap<>(outcomes));
        assertThat(proxy.readUwsgiOutcomes()).isEqualTo(new TreeMap<>(outcomes));
        proxy.clearRequests();
    }

    private static void start(Runnable service) {
        Thread thread = new Thread(service, "simulated-service");
        thread.setDaemon(true);
        thread.start();
    }

    /** Simulates a records service that answers every call with the same reply. */
    private static void answerCalls(ServerFixture fixture) {
        while (!fixture.records.isClosed()) {
            try {
                TestConnection connection = new TestConnection(fixture.records.accept());
                start(() -> answerCalls(connection));
            } catch (IOException e) {
                continue; // the fixture was closed
            }
        }
    }

    private static void answerCalls(TestConnection connection) {
        try (connection) {
            for (String line = connection.readLine(); line != null; line = connection.readLine()) {
                String[] words = line.split(" ");
                connection.readBytes(Integer.parseInt(words[3]) + 2);
                connection.write((words[1] + " DONE 5\r\nreply\r\n").getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            return; // the connection was closed
        }
    }
}

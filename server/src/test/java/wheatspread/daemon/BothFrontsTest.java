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

/** Both protocols at once, on one core: the same requests come to the same ends and counts. */
class BothFrontsTest {
    @Test
    void bothProtocolsGiveTheSameOutcomesAndCounters() throws Exception {
        try (ServerFixture fixture = new ServerFixture();
                StandInProxy proxy = new StandInProxy(fixture)) {
            StandInKernel kernel = new StandInKernel(fixture);
            start(kernel);
            start(() -> answerCalls(fixture));
            assertThat(fixture.nextAnnounced()).endsWith("{\"accepting\":\"true\"}");

            proxy.ask("stew", "north", 5000, null, "ok-1");
            proxy.ask("stew", "south", 5000, null, "error-2");
            proxy.ask("stew", "south", 5000, null, "call-3");
            proxy.ask("save", "north", 8000, "k1", "ok-4");
            proxy.ask("save", "north", 8000, "k1", "ok-4");
            proxy.ask("save", "north", 8000, "k1", "other-4");
            proxy.ask("stew", "east", 5000, null, "ok-5");
            proxy.ask("save", "south", 8000, null, "ok-6");
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
                    .as("runs of one key over both")
                    .isOne();
            assertThat(Collections.frequency(kernel.runs, "ok-1")).isEqualTo(2);

            proxy.ask("stew", "north", 900, null, "hang-7");
            fixture.clock().advance(900_000);
            assertOutcomes(proxy, Map.of("hang-7", "out of time"));

            proxy.ask("save", "north", 8000, "k2", "hang-8");
            fixture.clock().advance(0);
            fixture.server.drain();
            fixture.clock().advance(2_600_000);
            proxy.ask("stew", "north", 5000, null, "ok-9");
            fixture.clock().advance(1_400_000);
            assertOutcomes(proxy, Map.of("hang-8", "out of time", "ok-9", "refused"));
            fixture.server.awaitStopped();

            assertThat(fixture.announced.poll()).endsWith("{\"accepting\":\"false\"}");
            assertThat(kernel.runs).doesNotContain("ok-9").contains("hang-8");
            // each front: ok-1, call-3 and ok-4 twice served; error-2, other-4, hang-7 and hang-8 failed;
            // ok-9 refused
            assertThat(fixture.server.counts().toString())
                    .startsWith("read 18, served 8, refused 2, failed 8")
                    .contains("gone 0, runs 10, joins 4");
        }
    }

    /** Guards against a process whose event loop has died, and that stays for ever, deaf to SIGTERM. */
    @Test
    @Timeout(20)
    void serverExitsWithItsOwnCodeWhenTheEventLoopDies() throws Exception {
        try (ServerFixture fixture = new ServerFixture()) {
            fixture.server.kill();
            assertThat(fixture.server.awaitStopped()).isEqualTo(Server.EXIT_EVENT_LOOP_ENDED);
        }
    }

    /** Guards against a warm-up that compiles the refusal of requests in place of their service. */
    @Test
    void warmUpServesItsRequests() throws Exception {
        JSONObject json = new JSONObject(Files.readString(Path.of("src/test/resources/config.json")));
        WarmUp warmUp =
                new WarmUp(ServerConfig.read(JsonFields.of(json.toMap(), "")).site());
        assertThat(warmUp.serveRequests(Long.MAX_VALUE / 2, () -> false)).isBetween(390, 400);
    }

    /** The answers over both protocols are those, and so the same. */
    private static void assertOutcomes(StandInProxy proxy, Map<String, String> outcomes) throws IOException {
        assertThat(proxy.overJsonRpc()).isEqualTo(new TreeMap<>(outcomes));
        assertThat(proxy.overUwsgi()).isEqualTo(new TreeMap<>(outcomes));
        proxy.forget();
    }

    private static void start(Runnable party) {
        Thread thread = new Thread(party, "stand-in");
        thread.setDaemon(true);
        thread.start();
    }

    /** A records service that answers every call with the same reply. */
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
            for (String line = connection.line(); line != null; line = connection.line()) {
                String[] words = line.split(" ");
                connection.bytes(Integer.parseInt(words[3]) + 2);
                connection.write((words[1] + " DONE 5\r\nreply\r\n").getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            return; // that connection ended
        }
    }
}

package wheatspread.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a server that stops answering health checks and loses its services when many clients open connections
 * and send nothing, or an incomplete line, while the announce service is down. The test's clock does not advance, so no
 * connection times out.
 */
@Timeout(60)
class FloodTest {
    private static final String CHECK = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n";
    /** Exceeds the 160 connections that the fixture's 256 descriptors leave for the platform's front. */
    private static final int FLOOD_CONNECTIONS = 400;

    private final List<FaultyClient> floodClients = new ArrayList<>();

    private void openFlood(ServerFixture fixture, String sentText) throws IOException {
        for (int i = 0; i < FLOOD_CONNECTIONS; i++) {
            FaultyClient client = FaultyClient.connect(fixture.jsonrpc);
            floodClients.add(client);
            client.write(sentText);
            fixture.clock().advance(0);
        }
    }

    private static void assertChecksAreAnswered(ServerFixture fixture) throws IOException {
        for (int i = 0; i < 20; i++) {
            try (FaultyClient client = FaultyClient.connect(fixture.jsonrpc)) {
                client.write(CHECK);
                assertThat(client.readLine()).contains("\"well\":");
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"nio,''", "nio,'{\"jsonrpc\":'", "auto,''", "auto,'{\"jsonrpc\":'"})
    void answersHealthChecksAndConnectsToServicesDuringConnectionFlood(String transport, String sentText)
            throws Exception {
        try (ServerFixture fixture = new ServerFixture("{}", transport)) {
            fixture.stopService("announce");
            openFlood(fixture, sentText);
            assertChecksAreAnswered(fixture);
            SimulatedKernel kernel = new SimulatedKernel(fixture);
            Thread thread = new Thread(kernel, "simulated-kernel");
            thread.setDaemon(true);
            thread.start(); // the server's link waited in the backlog until now
            fixture.awaitLogged("to=SERVING");
            fixture.startService("announce");
            assertThat(fixture.nextAnnounced()).endsWith("{\"accepting\":\"true\"}");
            assertChecksAreAnswered(fixture);
        } finally {
            for (FaultyClient client : floodClients) {
                client.close();
            }
        }
    }
}

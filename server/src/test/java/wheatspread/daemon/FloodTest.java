package wheatspread.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Many connections that send nothing, or half a line, while a service is away. The clock of the test stands still, so
 * no connection times out.
 */
@Timeout(60)
class FloodTest {
    private static final String CHECK = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n";
    /** The configuration of the fixture leaves the platform's front 160 connections of its 256 descriptors. */
    private static final int FLOOD = 400;

    private final List<FaultyClient> idlePeers = new ArrayList<>();

    private void idlePeers(ServerFixture fixture, String sentText) throws IOException {
        for (int i = 0; i < FLOOD; i++) {
            FaultyClient client = FaultyClient.to(fixture.jsonrpc);
            idlePeers.add(client);
            client.write(sentText);
            fixture.clock().advance(0);
        }
    }

    private static void assertChecksAreAnswered(ServerFixture fixture) throws IOException {
        for (int i = 0; i < 20; i++) {
            try (FaultyClient client = FaultyClient.to(fixture.jsonrpc)) {
                client.write(CHECK);
                assertThat(client.line()).contains("\"well\":");
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"nio,''", "nio,'{\"jsonrpc\":'", "auto,''", "auto,'{\"jsonrpc\":'"})
    void healthChecksAndServicesWorkDuringAConnectionFlood(String transport, String sentText) throws Exception {
        try (ServerFixture fixture = new ServerFixture("{}", transport)) {
            fixture.stopService("announce");
            idlePeers(fixture, sentText);
            assertChecksAreAnswered(fixture);
            StandInKernel kernel = new StandInKernel(fixture);
            Thread thread = new Thread(kernel, "stand-in");
            thread.setDaemon(true);
            thread.start(); // the link waited in its queue; now it is answered
            fixture.awaitLogged("to=SERVING");
            fixture.startService("announce");
            assertThat(fixture.nextAnnounced()).endsWith("{\"accepting\":\"true\"}");
            assertChecksAreAnswered(fixture);
        } finally {
            for (FaultyClient client : idlePeers) {
                client.close();
            }
        }
    }
}

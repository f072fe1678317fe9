package wheatspread.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Callers that connect and say nothing, or half a line, in any number, while a party is away. Nothing passes
 * on the clock of the test, so nobody's time to speak is over.
 */
@Timeout(60)
class FloodTest {
    private static final String CHECK = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n";
    /** The configuration of the stage leaves the platform's front 160 connections of its 256 descriptors. */
    private static final int FLOOD = 400;

    private final List<ScriptedPeer> flood = new ArrayList<>();

    private void flood(Stage stage, String said) throws IOException {
        for (int i = 0; i < FLOOD; i++) {
            ScriptedPeer one = ScriptedPeer.to(stage.jsonrpc);
            flood.add(one);
            one.write(said);
            stage.clock().advance(0);
        }
    }

    private static void assertChecksAreAnswered(Stage stage) throws IOException {
        for (int i = 0; i < 20; i++) {
            try (ScriptedPeer check = ScriptedPeer.to(stage.jsonrpc)) {
                check.write(CHECK);
                assertThat(check.line()).contains("\"well\":");
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"nio,''", "nio,'{\"jsonrpc\":'", "auto,''", "auto,'{\"jsonrpc\":'"})
    void checksAreAnsweredAndThePartiesReachedThroughIt(String transport, String said) throws Exception {
        try (Stage stage = new Stage("{}", transport)) {
            stage.down("announce");
            flood(stage, said);
            assertChecksAreAnswered(stage);
            StandInKernel kernel = new StandInKernel(stage);
            Thread thread = new Thread(kernel, "stand-in");
            thread.setDaemon(true);
            thread.start(); // the link waited in its queue; now it is answered
            stage.awaitLogged("to=SERVING");
            stage.up("announce");
            assertThat(stage.nextAnnounced()).endsWith("{\"accepting\":\"true\"}");
            assertChecksAreAnswered(stage);
        } finally {
            for (ScriptedPeer one : flood) {
                one.close();
            }
        }
    }
}

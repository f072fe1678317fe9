package wheatspread.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import wheatspread.daemon.FaultyClient.StreamEnd;

/** Guards against lost answers and discarded requests when a client pauses within a line or never ends it. */
@Timeout(60)
class PartialLineTest extends RawClientFixture {
    @ParameterizedTest
    @MethodSource("transports")
    void incompleteLineTimeoutLosesNoAnswer(String transport) throws Exception {
        try (ServerFixture fixture = startServer("{\"connections\":{\"whole_request_ms\":100}}", transport);
                FaultyClient client = FaultyClient.connect(fixture.jsonrpc)) {
            client.write(requestLine(1, "call-1") + "{\"jsonrpc\":\"2.0\",\"id\":2,");
            try (TestConnection recordsConnection = new TestConnection(fixture.records.accept())) {
                String job = recordsConnection.readLine().split(" ")[1];
                recordsConnection.readLine();
                fixture.clock().advance(100_000);
                client.write("\"method\":\"stew\"");
                fixture.clock().advance(0);
                recordsConnection.write((job + " DONE 2\r\nok\r\n").getBytes(StandardCharsets.US_ASCII));
            }
            assertThat(outcomes(List.of(client.readLine()))).containsExactly("1 served");
            fixture.clock().advance(100_000); // the incomplete line times out, counted from the last answer
            assertThat(client.readToEnd(1)).isEqualTo(StreamEnd.CLOSED);
            assertThat(outcomes(client.takeLines())).isEmpty();
        }
    }

    /** Guards against discarding requests on an open connection after a pause in a line, while a request is open. */
    @ParameterizedTest
    @MethodSource("transports")
    void requestsAfterAPauseInALineAreAnsweredWhileARequestIsOpen(String transport) throws Exception {
        try (ServerFixture fixture = startServer("{\"connections\":{\"whole_request_ms\":100}}", transport);
                FaultyClient client = FaultyClient.connect(fixture.jsonrpc)) {
            String cutLine = requestLine(2, "ok-2");
            client.write(requestLine(1, "call-1") + cutLine.substring(0, 40));
            try (TestConnection recordsConnection = new TestConnection(fixture.records.accept())) {
                String job = recordsConnection.readLine().split(" ")[1];
                recordsConnection.readLine();
                fixture.clock().advance(250_000);
                client.write(cutLine.substring(40) + requestLine(3, "ok-3"));
                assertThat(outcomes(List.of(client.readLine(), client.readLine())))
                        .containsExactly("2 served", "3 served");
                recordsConnection.write((job + " DONE 2\r\nok\r\n").getBytes(StandardCharsets.US_ASCII));
            }
            assertThat(outcomes(List.of(client.readLine()))).containsExactly("1 served");
            assertThat(kernel.runs).containsExactly("call-1", "ok-2", "ok-3");
        }
    }

    /** Guards against a connection that is never read again if a read may process one message and gets a part of it. */
    @ParameterizedTest
    @MethodSource("transports")
    void readsTheRestOfALineIfOneMessageIsReadAtATime(String transport) throws Exception {
        try (ServerFixture fixture = startServer("{\"turns\":{\"messages_per_read\":1}}", transport);
                FaultyClient client = FaultyClient.connect(fixture.jsonrpc)) {
            String cutLine = requestLine(2, "ok-2");
            client.write(requestLine(1, "ok-1") + cutLine.substring(0, 40));
            assertThat(outcomes(List.of(client.readLine()))).containsExactly("1 served");
            client.write(cutLine.substring(40));
            assertThat(outcomes(List.of(client.readLine()))).containsExactly("2 served");
        }
    }

    /** A line over the length limit is answered with an error, and earlier requests are answered. */
    @ParameterizedTest
    @MethodSource("transports")
    void answersOverlongLineWithErrorAndNoReset(String transport) throws Exception {
        try (ServerFixture fixture = startServer("{}", transport);
                FaultyClient client = FaultyClient.connect(fixture.jsonrpc)) {
            client.write(requestLine(1, "ok-1") + "x".repeat(100_000));
            assertThat(client.readToEnd(1)).isEqualTo(StreamEnd.CLOSED);
            assertThat(outcomes(client.takeLines())).containsExactly("1 served", "null -32700");
            try (FaultyClient otherClient = FaultyClient.connect(fixture.jsonrpc)) {
                otherClient.write("\u00ff\u0000{\"id\":\n" + requestLine(1, "ok-2"));
                assertThat(outcomes(List.of(otherClient.readLine()))).containsExactly("null -32700");
                assertThat(outcomes(List.of(otherClient.readLine()))).containsExactly("1 served");
            }
        }
    }
}

package wheatspread.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import wheatspread.daemon.FaultyClient.StreamEnd;
import wheatspread.lifecycle.DrainDeadlines;

/**
 * Guards against lost answers, duplicate runs and resets when input arrives while a connection, a listener or the
 * process is being closed. The tests use real sockets; the event loop is blocked while the input is sent, so that the
 * order is the same in every run.
 */
@Timeout(60)
class CloseRaceTest extends RawClientFixture {
    private static final long GRACE_MICROS = 2_500_000;

    /** Guards against an idle timeout that a late loop handles before it reads a request which waits in the socket. */
    @ParameterizedTest
    @MethodSource("transports")
    void requestUnreadAtTheIdleTimeoutIsAnswered(String transport) throws Exception {
        try (ServerFixture fixture = startServer("{\"connections\":{\"idle_timeout_ms\":1000}}", transport);
                FaultyClient client = FaultyClient.connect(fixture.jsonrpc)) {
            client.write(requestLine(1, "ok-1"));
            assertThat(outcomes(List.of(client.readLine()))).containsExactly("1 served");
            fixture.clock().advanceWithConcurrentInput(1_000_000, () -> {
                client.write(requestLine(2, "ok-2"));
                return null;
            });
            assertThat(outcomes(List.of(client.readLine()))).containsExactly("2 served");
            fixture.clock().advance(1_000_000);
            assertThat(client.readToEnd(4096)).isEqualTo(StreamEnd.CLOSED);
            assertThat(client.takeLines()).isEmpty();
            assertThat(kernel.runs).containsExactly("ok-1", "ok-2");
        }
    }

    /** Guards against closing an idle connection for room over a request that the same poll reports. */
    @ParameterizedTest
    @MethodSource("transports")
    void requestUnreadAtACloseForRoomIsAnswered(String transport) throws Exception {
        try (ServerFixture fixture = startServer("{\"connections\":{\"max\":35}}", transport);
                FaultyClient longestIdle = FaultyClient.connect(fixture.jsonrpc);
                FaultyClient idle = FaultyClient.connect(fixture.jsonrpc)) {
            for (FaultyClient client : List.of(longestIdle, idle)) {
                client.write(requestLine(1, "ok-1"));
                assertThat(outcomes(List.of(client.readLine()))).containsExactly("1 served");
                fixture.clock().advance(10_000);
            }
            fixture.clock().advanceWithConcurrentInput(0, () -> {
                FaultyClient.connect(fixture.jsonrpc);
                longestIdle.write(requestLine(2, "ok-2"));
                return null;
            });
            assertThat(outcomes(List.of(longestIdle.readLine()))).containsExactly("2 served");
        }
    }

    /** A request that arrives after an idle close must not run, and its stream must end without a reset. */
    @ParameterizedTest
    @MethodSource("transports")
    void requestAfterIdleCloseIsNeitherRunNorReset(String transport) throws Exception {
        try (ServerFixture fixture = startServer("{\"connections\":{\"idle_timeout_ms\":1000}}", transport);
                FaultyClient client = FaultyClient.connect(fixture.jsonrpc)) {
            client.write(requestLine(1, "ok-1"));
            assertThat(outcomes(List.of(client.readLine()))).containsExactly("1 served");
            fixture.clock().advance(1_000_000);
            client.write(requestLine(2, "ok-2"));
            assertThat(client.readToEnd(4096)).isEqualTo(StreamEnd.CLOSED);
            assertThat(client.takeLines()).isEmpty();
            assertThat(kernel.runs).containsExactly("ok-1");
        }
    }

    /** The server aborts the connection of a client that sends more after the close than the server discards. */
    @ParameterizedTest
    @MethodSource("transports")
    void abortsClientThatSendsAfterClose(String transport) throws Exception {
        try (ServerFixture fixture = startServer("{}", transport);
                FaultyClient client = FaultyClient.connect(fixture.jsonrpc)) {
            assertThatThrownBy(() -> {
                        for (int i = 0; i < 1_000; i++) {
                            client.write("x".repeat(64 * 1024));
                        }
                    })
                    .isInstanceOf(IOException.class);
        }
    }

    @ParameterizedTest
    @MethodSource("transports")
    void slowReaderReceivesAllAnswersDuringShutdown(String transport) throws Exception {
        int count = 32;
        try (ServerFixture fixture = startServer("{}", transport);
                FaultyClient client = FaultyClient.connect(fixture.jsonrpc, 2_048)) {
            StringBuilder requests = new StringBuilder();
            for (int id = 1; id <= count; id++) {
                requests.append(requestLine(id, "ok-" + "y".repeat(2_000) + id));
            }
            client.write(requests + "{\"jsonrpc\"");
            awaitAnswers(count);
            fixture.server.drain();
            fixture.clock()
                    .advanceWithConcurrentInput(
                            GRACE_MICROS + DrainDeadlines.LAST_ACCEPTED_READ_MICROS + 50_000, () -> {
                                client.write(":\"2.0\"");
                                return null;
                            });
            client.write(",\"id\"");
            assertThat(client.readToEnd(512)).isEqualTo(StreamEnd.CLOSED);
            assertAnsweredOnce(outcomes(client.takeLines()), count);
            client.shutdownOutput();
            fixture.clock().advance(DrainDeadlines.LINGER_MICROS);
            assertThat(fixture.server.awaitStopped()).isZero();
        }
    }

    /** A client that never reads delays the exit until the stop timeout at most, and does not affect other clients. */
    @ParameterizedTest
    @MethodSource("transports")
    void clientThatNeverReadsDelaysExitUpToTheLimitOnly(String transport) throws Exception {
        try (ServerFixture fixture = startServer("{}", transport);
                FaultyClient client = FaultyClient.connect(fixture.jsonrpc, 2_048);
                FaultyClient otherClient = FaultyClient.connect(fixture.jsonrpc)) {
            for (int id = 1; id <= 32; id++) {
                client.write(requestLine(id, "ok-" + "z".repeat(2_000)));
            }
            awaitAnswers(32);
            otherClient.write(requestLine(1, "ok-1"));
            awaitAnswers(33);
            fixture.server.drain();
            fixture.clock().advance(3_900_000);
            assertThat(otherClient.readToEnd(4096)).isEqualTo(StreamEnd.CLOSED);
            assertAnsweredOnce(outcomes(otherClient.takeLines()), 1);
            fixture.clock().advance(50_000); // stop_ms is 4000
            assertThat(fixture.server.awaitStopped()).isZero();
        }
    }

    /**
     * Guards against losing connections that wait in the backlog, with their requests sent, when the listener closes.
     */
    @ParameterizedTest
    @MethodSource("transports")
    void answersConnectionsInTheBacklogWhenListenerCloses(String transport) throws Exception {
        List<FaultyClient> clients = new ArrayList<>();
        try (ServerFixture fixture = startServer("{}", transport)) {
            fixture.server.drain();
            fixture.clock().advance(GRACE_MICROS - 1);
            fixture.clock().advanceWithConcurrentInput(25_001, () -> {
                for (int i = 0; i < 40; i++) {
                    FaultyClient client = FaultyClient.connect(fixture.jsonrpc);
                    clients.add(client);
                    client.write(requestLine(1, "ok-late"));
                }
                return null;
            });
            assertThatThrownBy(() -> FaultyClient.connect(fixture.jsonrpc)).isInstanceOf(ConnectException.class);
            fixture.clock().advance(DrainDeadlines.LAST_ACCEPTED_READ_MICROS + 50_000);
            for (FaultyClient client : clients) {
                assertThat(client.readToEnd(4096)).isEqualTo(StreamEnd.CLOSED);
                assertThat(outcomes(client.takeLines())).containsExactly("1 -32066");
                client.close();
            }
            fixture.clock().advance(DrainDeadlines.LINGER_MICROS);
            assertThat(fixture.server.awaitStopped()).isZero();
            assertThat(kernel.runs).isEmpty();
        }
    }

    /**
     * If a connection is accepted before the listener closes, and its first request arrives after the listener has
     * closed, the connection must end without a reset.
     */
    @ParameterizedTest
    @MethodSource("transports")
    void requestDuringFinalDrainCloseDoesNotResetConnection(String transport) throws Exception {
        try (ServerFixture fixture = startServer("{}", transport);
                FaultyClient client = FaultyClient.connect(fixture.jsonrpc)) {
            fixture.clock().advance(0);
            fixture.server.drain();
            fixture.clock().advance(GRACE_MICROS + DrainDeadlines.LAST_ACCEPTED_READ_MICROS - 25_000);
            fixture.clock().advanceWithConcurrentInput(50_000, () -> {
                client.write(requestLine(1, "ok-1"));
                return null;
            });
            assertThat(client.readToEnd(4096)).isEqualTo(StreamEnd.CLOSED);
            assertThat(outcomes(client.takeLines())).isEmpty();
            assertThat(kernel.runs).isEmpty();
        }
    }

    /** Guards against an idle uwsgi connection that the drain closes over a request which waits in its socket. */
    @ParameterizedTest
    @MethodSource("transports")
    void requestUnreadAtTheDrainSignalIsAnsweredOnBothFronts(String transport) throws Exception {
        try (ServerFixture fixture = startServer("{}", transport)) {
            SimulatedProxy proxy = new SimulatedProxy(fixture);
            proxy.sendRequest("stew", "north", 5_000, null, "ok-1");
            assertThat(proxy.readJsonRpcOutcomes()).containsOnlyKeys("ok-1");
            assertThat(proxy.readUwsgiOutcomes()).containsOnlyKeys("ok-1");
            proxy.clearRequests();
            fixture.clock().advanceWithConcurrentInput(0, () -> {
                proxy.sendRequest("stew", "north", 5_000, null, "ok-2");
                fixture.server.drain();
                return null;
            });
            assertThat(proxy.readJsonRpcOutcomes()).containsEntry("ok-2", "served 2-ko");
            assertThat(proxy.readUwsgiOutcomes()).containsEntry("ok-2", "served 2-ko");
        }
    }

    /** A client that has shut down its output may still read: its requests are answered, then its stream ends. */
    @ParameterizedTest
    @MethodSource("transports")
    void answersClientThatShutDownItsOutput(String transport) throws Exception {
        try (ServerFixture fixture = startServer("{}", transport);
                FaultyClient client = FaultyClient.connect(fixture.jsonrpc)) {
            client.write(requestLine(1, "call-1"));
            try (TestConnection recordsConnection = new TestConnection(fixture.records.accept())) {
                String job = recordsConnection.readLine().split(" ")[1];
                recordsConnection.readLine();
                fixture.clock().advanceWithConcurrentInput(0, () -> {
                    client.writeByteByByte(requestLine(2, "ok-2") + "{\"half");
                    client.shutdownOutput();
                    return null;
                });
                fixture.clock().advance(60_000);
                recordsConnection.write((job + " DONE 2\r\nok\r\n").getBytes(StandardCharsets.US_ASCII));
                assertThat(client.readToEnd(4096)).isEqualTo(StreamEnd.CLOSED);
            }
            List<String> outcomes = outcomes(client.takeLines());
            assertThat(outcomes).hasSize(2).contains("1 served");
            assertThat(outcomes.get(1)).isIn("2 served", "2 -32066");
        }
    }

    /**
     * Three attempts are read in one event-loop iteration: the first is too late to run, and the second and the third
     * share one run.
     */
    @ParameterizedTest
    @MethodSource("transports")
    void simultaneousAttemptsWithOneIdempotencyKeyShareOneRun(String transport) throws Exception {
        try (ServerFixture fixture = startServer("{}", transport);
                FaultyClient client = FaultyClient.connect(fixture.jsonrpc)) {
            client.write(idempotentRequestLine(1, 4_000) + idempotentRequestLine(2, 0) + idempotentRequestLine(3, 0));
            awaitAnswers(3);
            client.shutdownOutput();
            assertThat(client.readToEnd(4096)).isEqualTo(StreamEnd.CLOSED);
            assertThat(outcomes(client.takeLines())).containsExactly("1 -32066", "2 served", "3 served");
            assertThat(kernel.runs).hasSize(1);
        }
    }

    /** The reset of a connection counts as a disconnected client; other connections are served. */
    @ParameterizedTest
    @MethodSource("transports")
    void resetDoesNotAffectOtherConnections(String transport) throws Exception {
        try (ServerFixture fixture = startServer("{}", transport);
                FaultyClient client = FaultyClient.connect(fixture.jsonrpc);
                FaultyClient otherClient = FaultyClient.connect(fixture.jsonrpc)) {
            client.write(requestLine(1, "hang-1"));
            otherClient.write(requestLine(1, "call-1"));
            try (TestConnection recordsConnection = new TestConnection(fixture.records.accept())) {
                String job = recordsConnection.readLine().split(" ")[1];
                recordsConnection.readLine();
                fixture.clock().advanceWithConcurrentInput(10_000, () -> {
                    client.write("{\"half");
                    client.reset();
                    return null;
                });
                fixture.clock().advance(100_000);
                recordsConnection.write((job + " DONE 2\r\nok\r\n").getBytes(StandardCharsets.US_ASCII));
                assertThat(outcomes(List.of(otherClient.readLine()))).containsExactly("1 served");
            }
            assertThat(fixture.server.requestCounters().toString()).contains("gone 1,");
        }
    }
}

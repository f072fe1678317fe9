package wheatspread.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.json.JSONObject;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import wheatspread.daemon.FaultyClient.StreamEnd;
import wheatspread.lifecycle.DrainDeadlines;
import wheatspread.transport.Transport;

/**
 * What comes at the very moment in which a connection, a listener or the process ends, on real sockets. The
 * loop is held where a crossing is to happen, so its order is the same every time.
 */
@Timeout(60)
class EndingsTest {
    private static final long GRACE_MICROS = 2_500_000;

    private ServerFixture current;
    private StandInKernel kernel;
    private int lastTransaction;

    static List<String> transports() {
        return List.of("nio", Transport.named("auto").name()).stream()
                .distinct()
                .toList();
    }

    private ServerFixture begin(String operatorOverrides, String transport) throws Exception {
        current = new ServerFixture(operatorOverrides, transport);
        kernel = new StandInKernel(current);
        Thread thread = new Thread(kernel, "stand-in");
        thread.setDaemon(true);
        thread.start();
        assertThat(current.nextAnnounced()).endsWith("{\"accepting\":\"true\"}");
        return current;
    }

    private String requestLine(int id, String body) {
        return new JSONObject()
                        .put("jsonrpc", "2.0")
                        .put("id", id)
                        .put("method", "stew")
                        .put(
                                "params",
                                new JSONObject()
                                        .put("txn", String.format("%016x", ++lastTransaction))
                                        .put("door", current.clock().nowMicros() / 1000)
                                        .put("lb", 1)
                                        .put("team", "north")
                                        .put("limit", 5000)
                                        .put("ram", 20)
                                        .put("blob", StandInKernel.encode(body)))
                + "\n";
    }

    /** An attempt of a request with one idempotency key, which arrived so long ago. */
    private String idempotentRequestLine(int id, int agoMs) {
        JSONObject request = new JSONObject(requestLine(id, "ok-plan")).put("method", "save");
        request.getJSONObject("params")
                .put("unique", "key")
                .put("limit", 8_000)
                .put("door", current.clock().nowMicros() / 1000 - agoMs);
        return request + "\n";
    }

    /** What became of each request, by its id; the words of notifications are left out. */
    private static List<String> outcomes(List<String> lines) {
        List<String> outcomes = new ArrayList<>();
        for (String line : lines) {
            JSONObject answer = new JSONObject(line);
            if (!answer.has("method")) {
                outcomes.add(answer.get("id")
                        + (answer.has("result")
                                ? " served"
                                : " " + answer.getJSONObject("error").getInt("code")));
            }
        }
        Collections.sort(outcomes);
        return outcomes;
    }

    /** Every request up to this id has one final answer: a result, or a refusal where it was too much. */
    private static void assertAnsweredOnce(List<String> outcomes, int count) {
        List<Integer> ids = outcomes.stream()
                .map(outcome -> Integer.valueOf(outcome.split(" ")[0]))
                .sorted()
                .toList();
        assertThat(ids).isEqualTo(IntStream.rangeClosed(1, count).boxed().toList());
        assertThat(outcomes)
                .allMatch(outcome -> outcome.matches("\\d+ (served|-32066)"))
                .anyMatch(outcome -> outcome.endsWith(" served"));
    }

    /** Waits until so many requests are answered; the simulated kernel does not run on the clock of the test. */
    private void awaitAnswers(int count) {
        Pattern answers = Pattern.compile("served (\\d+), refused (\\d+), failed (\\d+)");
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        int answered = 0;
        while (answered < count) {
            assertThat(System.nanoTime())
                    .as("%d of %d answered", answered, count)
                    .isLessThan(until);
            current.clock().advance(0);
            Matcher now = answers.matcher(current.server.counts().toString());
            assertThat(now.find()).isTrue();
            answered = IntStream.rangeClosed(1, 3)
                    .map(i -> Integer.parseInt(now.group(i)))
                    .sum();
        }
    }

    /** Never run and unanswered: the crossing request is closed on with an end of stream, and is not run. */
    @ParameterizedTest
    @MethodSource("transports")
    void requestThatCrossesAnIdleCloseIsNeitherRunNorReset(String transport) throws Exception {
        try (ServerFixture fixture = begin("{\"connections\":{\"idle_timeout_ms\":1000}}", transport);
                FaultyClient client = FaultyClient.to(fixture.jsonrpc)) {
            client.write(requestLine(1, "ok-1"));
            assertThat(outcomes(List.of(client.line()))).containsExactly("1 served");
            fixture.clock().cross(1_000_000, () -> {
                client.write(requestLine(2, "ok-2"));
                return null;
            });
            assertThat(client.readToEnd(4096)).isEqualTo(StreamEnd.CLOSED);
            assertThat(client.lines()).isEmpty();
            assertThat(kernel.runs).containsExactly("ok-1");
        }
    }

    @ParameterizedTest
    @MethodSource("transports")
    void incompleteLineAtACloseLosesNoAnswer(String transport) throws Exception {
        try (ServerFixture fixture = begin("{\"connections\":{\"whole_request_ms\":100}}", transport);
                FaultyClient client = FaultyClient.to(fixture.jsonrpc)) {
            client.write(requestLine(1, "call-1") + "{\"jsonrpc\":\"2.0\",\"id\":2,");
            try (TestConnection records = new TestConnection(fixture.records.accept())) {
                String job = records.line().split(" ")[1];
                records.line();
                fixture.clock().advance(100_000); // its half line took too long
                client.write("\"method\":\"stew\"");
                fixture.clock().advance(0);
                records.write((job + " DONE 2\r\nok\r\n").getBytes(StandardCharsets.US_ASCII));
                assertThat(client.readToEnd(1)).isEqualTo(StreamEnd.CLOSED);
            }
            assertThat(outcomes(client.lines())).containsExactly("1 served");
        }
    }

    /** A line over its bound is an error, and what was asked before it is answered all the same. */
    @ParameterizedTest
    @MethodSource("transports")
    void lineOverItsBoundIsAnErrorAndNotAReset(String transport) throws Exception {
        try (ServerFixture fixture = begin("{}", transport);
                FaultyClient client = FaultyClient.to(fixture.jsonrpc)) {
            client.write(requestLine(1, "ok-1") + "x".repeat(100_000));
            assertThat(client.readToEnd(1)).isEqualTo(StreamEnd.CLOSED);
            assertThat(outcomes(client.lines())).containsExactly("1 served", "null -32700");
            try (FaultyClient otherClient = FaultyClient.to(fixture.jsonrpc)) {
                otherClient.write("\u00ff\u0000{\"id\":\n" + requestLine(1, "ok-2"));
                assertThat(outcomes(List.of(otherClient.line()))).containsExactly("null -32700");
                assertThat(outcomes(List.of(otherClient.line()))).containsExactly("1 served");
            }
        }
    }

    /** A caller that sends without end after its close is cut off at the bound. */
    @ParameterizedTest
    @MethodSource("transports")
    void callerThatSendsOnAfterItsCloseIsAborted(String transport) throws Exception {
        try (ServerFixture fixture = begin("{}", transport);
                FaultyClient client = FaultyClient.to(fixture.jsonrpc)) {
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
    void slowReaderGetsAllAnswersDuringAShutdown(String transport) throws Exception {
        int count = 32;
        try (ServerFixture fixture = begin("{}", transport);
                FaultyClient client = FaultyClient.to(fixture.jsonrpc, 2_048)) {
            StringBuilder all = new StringBuilder();
            for (int id = 1; id <= count; id++) {
                all.append(requestLine(id, "ok-" + "y".repeat(2_000) + id));
            }
            client.write(all + "{\"jsonrpc\"");
            awaitAnswers(count);
            fixture.server.drain();
            fixture.clock().cross(GRACE_MICROS + DrainDeadlines.LAST_ACCEPTED_READ_MICROS + 50_000, () -> {
                client.write(":\"2.0\"");
                return null;
            });
            client.write(",\"id\"");
            assertThat(client.readToEnd(512)).isEqualTo(StreamEnd.CLOSED);
            assertAnsweredOnce(outcomes(client.lines()), count);
            client.shutOutput();
            fixture.clock().advance(DrainDeadlines.LINGER_MICROS);
            assertThat(fixture.server.awaitStopped()).isZero();
        }
    }

    /** It costs the server its bound of time, and the others nothing. */
    @ParameterizedTest
    @MethodSource("transports")
    void callerThatNeverReadsDelaysTheExitUpToItsBoundOnly(String transport) throws Exception {
        try (ServerFixture fixture = begin("{}", transport);
                FaultyClient client = FaultyClient.to(fixture.jsonrpc, 2_048);
                FaultyClient otherClient = FaultyClient.to(fixture.jsonrpc)) {
            for (int id = 1; id <= 32; id++) {
                client.write(requestLine(id, "ok-" + "z".repeat(2_000)));
            }
            awaitAnswers(32);
            otherClient.write(requestLine(1, "ok-1"));
            awaitAnswers(33);
            fixture.server.drain();
            fixture.clock().advance(3_900_000);
            assertThat(otherClient.readToEnd(4096)).isEqualTo(StreamEnd.CLOSED);
            assertAnsweredOnce(outcomes(otherClient.lines()), 1);
            fixture.clock().advance(50_000); // stop_ms is 4000
            assertThat(fixture.server.awaitStopped()).isZero();
        }
    }

    /** Forty wait in the queue of the listening socket, with their requests written, when it is closed. */
    @ParameterizedTest
    @MethodSource("transports")
    void connectionsInTheBacklogAreAnsweredWhenTheListenerCloses(String transport) throws Exception {
        List<FaultyClient> clients = new ArrayList<>();
        try (ServerFixture fixture = begin("{}", transport)) {
            fixture.server.drain();
            fixture.clock().advance(GRACE_MICROS - 1);
            fixture.clock().cross(25_001, () -> {
                for (int i = 0; i < 40; i++) {
                    FaultyClient client = FaultyClient.to(fixture.jsonrpc);
                    clients.add(client);
                    client.write(requestLine(1, "ok-late"));
                }
                return null;
            });
            assertThatThrownBy(() -> FaultyClient.to(fixture.jsonrpc)).isInstanceOf(ConnectException.class);
            fixture.clock().advance(DrainDeadlines.LAST_ACCEPTED_READ_MICROS + 50_000);
            for (FaultyClient client : clients) {
                assertThat(client.readToEnd(4096)).isEqualTo(StreamEnd.CLOSED);
                assertThat(outcomes(client.lines())).containsExactly("1 -32066");
                client.close();
            }
            fixture.clock().advance(DrainDeadlines.LINGER_MICROS);
            assertThat(fixture.server.awaitStopped()).isZero();
            assertThat(kernel.runs).isEmpty();
        }
    }

    /** Accepted just before the listener's end, and silent until after it: closed in order, not reset. */
    @ParameterizedTest
    @MethodSource("transports")
    void requestThatCrossesTheLastCloseIsNotReset(String transport) throws Exception {
        try (ServerFixture fixture = begin("{}", transport);
                FaultyClient client = FaultyClient.to(fixture.jsonrpc)) {
            fixture.clock().advance(0);
            fixture.server.drain();
            fixture.clock().advance(GRACE_MICROS + DrainDeadlines.LAST_ACCEPTED_READ_MICROS - 25_000);
            fixture.clock().cross(50_000, () -> {
                client.write(requestLine(1, "ok-1"));
                return null;
            });
            assertThat(client.readToEnd(4096)).isEqualTo(StreamEnd.CLOSED);
            assertThat(outcomes(client.lines())).isEmpty();
            assertThat(kernel.runs).isEmpty();
        }
    }

    /** A caller that says no more may still read: what it asked is answered, then its stream ends. */
    @ParameterizedTest
    @MethodSource("transports")
    void callerThatEndsItsStreamIsStillAnswered(String transport) throws Exception {
        try (ServerFixture fixture = begin("{}", transport);
                FaultyClient client = FaultyClient.to(fixture.jsonrpc)) {
            client.write(requestLine(1, "call-1"));
            try (TestConnection records = new TestConnection(fixture.records.accept())) {
                String job = records.line().split(" ")[1];
                records.line();
                fixture.clock().cross(0, () -> {
                    client.writeBytewise(requestLine(2, "ok-2") + "{\"half");
                    client.shutOutput();
                    return null;
                });
                fixture.clock().advance(60_000);
                records.write((job + " DONE 2\r\nok\r\n").getBytes(StandardCharsets.US_ASCII));
                assertThat(client.readToEnd(4096)).isEqualTo(StreamEnd.CLOSED);
            }
            List<String> outcomes = outcomes(client.lines());
            assertThat(outcomes).hasSize(2).contains("1 served");
            assertThat(outcomes.get(1)).isIn("2 served", "2 -32066");
        }
    }

    /** Three attempts in one turn of the loop, the first too late to be run: the other two share one run. */
    @ParameterizedTest
    @MethodSource("transports")
    void attemptsWithOneIdempotencyKeyReadTogetherRunOnce(String transport) throws Exception {
        try (ServerFixture fixture = begin("{}", transport);
                FaultyClient client = FaultyClient.to(fixture.jsonrpc)) {
            client.write(idempotentRequestLine(1, 4_000) + idempotentRequestLine(2, 0) + idempotentRequestLine(3, 0));
            awaitAnswers(3);
            client.shutOutput();
            assertThat(client.readToEnd(4096)).isEqualTo(StreamEnd.CLOSED);
            assertThat(outcomes(client.lines())).containsExactly("1 -32066", "2 served", "3 served");
            assertThat(kernel.runs).hasSize(1);
        }
    }

    /** A caller that resets its connection is gone; another connection is served on. */
    @ParameterizedTest
    @MethodSource("transports")
    void resetOfOneConnectionAffectsNoOther(String transport) throws Exception {
        try (ServerFixture fixture = begin("{}", transport);
                FaultyClient client = FaultyClient.to(fixture.jsonrpc);
                FaultyClient otherClient = FaultyClient.to(fixture.jsonrpc)) {
            client.write(requestLine(1, "hang-1"));
            otherClient.write(requestLine(1, "call-1"));
            try (TestConnection records = new TestConnection(fixture.records.accept())) {
                String job = records.line().split(" ")[1];
                records.line();
                fixture.clock().cross(10_000, () -> {
                    client.write("{\"half");
                    client.reset();
                    return null;
                });
                fixture.clock().advance(100_000);
                records.write((job + " DONE 2\r\nok\r\n").getBytes(StandardCharsets.US_ASCII));
                assertThat(outcomes(List.of(otherClient.line()))).containsExactly("1 served");
            }
            assertThat(fixture.server.counts().toString()).contains("gone 1,");
        }
    }
}

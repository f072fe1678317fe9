package wheatspread.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.json.JSONObject;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import wheatspread.lifecycle.DrainDeadlines;
import wheatspread.lifecycle.Lifecycle;
import wheatspread.transport.Transport;
import wheatspread.uwsgi.UwsgiEncoder;
import wheatspread.uwsgi.UwsgiPacket;

/**
 * Executes the scene files against a server. The peers are the kernel, the records service, the announce service,
 * JSON-RPC proxies ({@code p1}) and uwsgi clients ({@code u1}). The commands of a scene:
 *
 * <ul>
 * <li>{@code peer> text} sends a line to the server; {@code peer< text} expects a line from the server, and
 *     {@code peer< closed} expects the end of the stream. {@code peer: hex} expects bytes.
 * <li>{@code kernel<job 1 text} and {@code kernel>job 1 text} expect and send a message about a job whose id the server
 *     chose; the scene refers to the job by number.
 * <li>{@code bytes peer text} sends part of a line.
 * <li>{@code clock 50} advances the clock by 50 ms.
 * <li>{@code quiet peer} expects that the peer has received nothing.
 * <li>{@code logged text} expects a log line.
 * <li>{@code cut peer} closes a connection; {@code down service} and {@code up service} stop and start a service.
 * <li>{@code mute} leaves further announcements unanswered; {@code nogauges} leaves requests for gauges unanswered.
 * <li>{@code reload} gives all services new addresses, after which the old connections are named {@code old-kernel} and
 *     {@code old-records}; with {@code late} the new address of the kernel refuses connections until {@code up kernel}.
 *     {@code reload key value} changes one key.
 * <li>{@code operator json} replaces keys of the operator's file.
 * <li>{@code drain} is SIGTERM, {@code hurry} a second SIGINT. {@code stopped code} waits until lingering connections
 *     time out, and expects the exit code.
 * </ul>
 */
class SceneTest {
    /** Returns every scene with every transport that this machine supports. */
    static Stream<Arguments> scenes() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("src/test/resources/scenes"))) {
            return files.sorted().toList().stream()
                    .flatMap(file -> Stream.of("nio", Transport.named("auto").name())
                            .distinct()
                            .map(transport -> Arguments.of(file, transport)));
        }
    }

    @ParameterizedTest
    @MethodSource("scenes")
    void serverFollowsScene(Path scene, String transport) throws Exception {
        List<String> lines = Files.readAllLines(scene);
        String operatorLine = lines.stream()
                .filter(line -> line.startsWith("operator "))
                .findFirst()
                .orElse("operator {}");
        try (ServerFixture fixture = new ServerFixture(operatorLine.substring(9), transport);
                ScenePeers peers = new ScenePeers(fixture)) {
            for (int i = 0; i < lines.size(); i++) {
                if (!lines.get(i).isBlank() && !lines.get(i).matches("(#|operator ).*")) {
                    try {
                        peers.execute(lines.get(i));
                    } catch (IOException e) {
                        throw new AssertionError(scene + ":" + (i + 1) + ": " + lines.get(i) + ": " + e, e);
                    } catch (AssertionError e) {
                        throw new AssertionError(scene + ":" + (i + 1) + ": " + e.getMessage(), e);
                    }
                }
            }
        }
    }

    /** The peers of the server, which execute the commands of a scene. */
    private static final class ScenePeers implements AutoCloseable {
        private final ServerFixture fixture;
        private final Map<String, TestConnection> connections = new HashMap<>();
        private final Map<String, String> jobs = new HashMap<>();
        private boolean answersGauges = true;

        ScenePeers(ServerFixture fixture) {
            this.fixture = fixture;
        }

        void execute(String line) throws Exception {
            String[] words = line.split(" ", 2);
            String argument = words.length > 1 ? words[1] : "";
            switch (words[0]) {
                case "clock" -> {
                    awaitInputRead();
                    fixture.clock().advance(Long.parseLong(argument) * 1000);
                }
                case "drain" -> {
                    awaitInputRead();
                    fixture.server.drain();
                }
                case "hurry" -> {
                    awaitInputRead();
                    fixture.server.signal(Lifecycle.Event.DRAIN_IMMEDIATELY);
                }
                case "reload" -> reload(argument);
                case "logged" -> {
                    awaitInputRead();
                    assertThat(fixture.logged)
                            .contains(argument.replace("$kernel", "/127.0.0.1:" + fixture.kernelSocket.getLocalPort()));
                }
                case "mute" -> fixture.announceUnanswered = true;
                case "bytes" -> {
                    String[] part = argument.split(" ", 2);
                    connection(part[0]).write(part[1].getBytes(StandardCharsets.UTF_8));
                }
                case "stopped" -> awaitStopped(argument);
                case "nogauges" -> answersGauges = false;
                case "quiet" -> {
                    awaitInputRead();
                    assertThat(
                                    argument.equals("kernel")
                                            ? nextKernelLineLength()
                                            : connection(argument).available())
                            .isZero();
                }
                case "down" -> fixture.stopService(argument);
                case "up" -> fixture.startService(argument);
                case "cut" -> cut(argument);
                default -> exchangeMessage(words[0], argument);
            }
        }

        private void reload(String argument) throws IOException {
            awaitInputRead();
            String[] change = argument.split(" ", 2);
            fixture.reload(change[0], change.length > 1 ? change[1] : "");
            if (argument.isEmpty() || argument.equals("late")) {
                for (String name : List.of("kernel", "records")) {
                    if (connections.containsKey(name)) {
                        connections.put("old-" + name, connections.remove(name));
                    }
                }
            }
        }

        private void awaitStopped(String exitCode) throws InterruptedException {
            fixture.clock()
                    .advance(DrainDeadlines.LINGER_MICROS); // the clients of a scene do not close their connections
            assertThat(fixture.server.awaitStopped()).isEqualTo(exitCode.isEmpty() ? 0 : Integer.parseInt(exitCode));
        }

        private void cut(String peer) throws IOException {
            if (peer.equals("announce")) {
                fixture.closeAnnounceConnection();
            } else {
                connections.remove(peer).close();
            }
        }

        /** Sends a line from a peer, or expects a line that the peer receives. */
        private void exchangeMessage(String direction, String text) throws Exception {
            String peer = direction.substring(0, direction.length() - 1);
            if (direction.endsWith("job")) {
                exchangeJobMessage(direction.charAt(direction.length() - 4) == '<', text.split(" ", 2));
            } else if (direction.endsWith(":")) {
                byte[] expected = ByteBufUtil.decodeHexDump(text);
                assertThat(connection(peer).readBytes(expected.length)).isEqualTo(expected);
            } else if (direction.endsWith(">")) {
                send(peer, text);
            } else {
                expect(peer, text);
            }
        }

        /** Sends or expects a kernel message about a job that the server named; a scene refers to a job by number. */
        private void exchangeJobMessage(boolean expected, String[] words) throws IOException {
            JSONObject message = new JSONObject(words[1]);
            if (expected) {
                JSONObject actual = new JSONObject(kernelLine());
                String job = String.valueOf(actual.remove("job"));
                assertThat(jobs.computeIfAbsent(words[0], number -> job)).isEqualTo(job);
                assertThat(actual.similar(message))
                        .as("expected %s, received %s", message, actual)
                        .isTrue();
            } else {
                connection("kernel")
                        .writeLine(message.put("job", jobs.get(words[0])).toString());
            }
        }

        /** Waits until the server has read all input: the event loop polls its sockets before it runs tasks. */
        private void awaitInputRead() {
            fixture.clock().advance(0);
        }

        private TestConnection connection(String peer) throws IOException {
            TestConnection connection = connections.get(peer);
            if (connection == null) {
                connection = peer.equals("kernel")
                        ? new TestConnection(fixture.kernelSocket.accept())
                        : peer.startsWith("records")
                                ? new TestConnection(fixture.records.accept())
                                : TestConnection.connect(peer.startsWith("u") ? fixture.uwsgi : fixture.jsonrpc);
                connections.put(peer, connection);
            }
            return connection;
        }

        private void send(String peer, String text) throws IOException {
            if (peer.startsWith("u")) {
                connection(peer).write(packet(text));
            } else if (peer.contains("records")) {
                connection(peer).write(unescape(text));
            } else {
                connection(peer)
                        .writeLine(text.replace(
                                "$now", Long.toString(fixture.clock().nowMicros() / 1000)));
            }
        }

        private static byte[] unescape(String text) {
            return text.replace("\\r", "\r").replace("\\n", "\n").getBytes(StandardCharsets.ISO_8859_1);
        }

        /**
         * Encodes a uwsgi request, given as {@code hex} bytes, or as vars {@code NAME=value} with the body after {@code
         * +}.
         */
        private static byte[] packet(String text) {
            if (text.startsWith("hex ")) {
                return ByteBufUtil.decodeHexDump(text.substring(4).replace(" ", ""));
            }
            Map<String, String> vars = new LinkedHashMap<>();
            String body = "";
            for (String word : text.split(" ")) {
                if (word.startsWith("+")) {
                    body = word.substring(1);
                } else {
                    vars.put(word.substring(0, word.indexOf('=')), word.substring(word.indexOf('=') + 1));
                }
            }
            if (!body.isEmpty()) {
                vars.putIfAbsent("CONTENT_LENGTH", Integer.toString(body.length()));
            }
            ByteBuf out = Unpooled.buffer();
            UwsgiEncoder.write(new UwsgiPacket(UwsgiPacket.REQUEST_MODIFIER, 0, vars), out);
            return ByteBufUtil.getBytes(out.writeBytes(body.getBytes(StandardCharsets.ISO_8859_1)));
        }

        private void expect(String peer, String expected) throws Exception {
            if (peer.equals("announce")) {
                assertThat(fixture.nextAnnounced()).isEqualTo(expected);
                return;
            }
            if (peer.startsWith("u") && !expected.equals("closed")) {
                assertThat(response(connection(peer))).isEqualTo(expected);
                return;
            }
            String actual =
                    peer.equals("kernel") ? kernelLine() : connection(peer).readLine();
            if (expected.equals("closed")) {
                assertThat(actual).isNull();
            } else if (expected.startsWith("{")) {
                String text =
                        expected.replace("$now", Long.toString(fixture.clock().nowMicros() / 1000));
                assertThat(new JSONObject(actual).similar(new JSONObject(text)))
                        .as("expected %s, received %s", text, actual)
                        .isTrue();
            } else {
                assertThat(actual).isEqualTo(expected);
            }
        }

        /**
         * Returns the length of the next line that the kernel received, 0 if none; requests for gauges are answered.
         */
        private int nextKernelLineLength() throws IOException {
            TestConnection kernel = connection("kernel");
            int availableBytes = kernel.available();
            while (availableBytes > 0) {
                String line = kernel.readLine();
                if (!line.contains("\"SYSINFO\"")) {
                    return line.length();
                }
                answerGauges(line);
                availableBytes = kernel.available();
            }
            return 0;
        }

        private String kernelLine() throws IOException {
            String actual = connection("kernel").readLine();
            while (actual != null && actual.contains("\"SYSINFO\"")) {
                answerGauges(actual);
                actual = connection("kernel").readLine();
            }
            return actual;
        }

        private void answerGauges(String request) throws IOException {
            String ref = new JSONObject(request).getString("ref");
            if (answersGauges || ref.equals("sync")) {
                connection("kernel").writeLine("{\"type\":\"INFO\",\"ref\":\"" + ref + "\",\"gauges\":[0.3,1,0.1,2]}");
            }
        }

        /** Returns the status, the headers except Content-Length and X- headers, and the body. */
        private static String response(TestConnection connection) throws IOException {
            StringBuilder actual =
                    new StringBuilder(String.valueOf(connection.readLine()).replace("HTTP/1.1 ", ""));
            int length = 0;
            for (String header = connection.readLine();
                    header != null && !header.isEmpty();
                    header = connection.readLine()) {
                if (header.startsWith("Content-Length: ")) {
                    length = Integer.parseInt(header.substring(16));
                } else if (!header.startsWith("X-")) {
                    actual.append(" | ").append(header);
                }
            }
            return actual + " | " + new String(connection.readBytes(length), StandardCharsets.ISO_8859_1).trim();
        }

        @Override
        public void close() throws IOException {
            for (TestConnection connection : connections.values()) {
                connection.close();
            }
        }
    }
}

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
 * Plays recorded exchanges against the program. A line {@code peer> text} is sent to it, {@code peer< text}
 * must come from it; {@code clock 50} moves the clock on by milliseconds; {@code cut}, {@code stopService} and
 * {@code startService} break a connection or a service, and {@code quiet} says that nothing came; {@code reload} gives
 * all peers new addresses, after which old connections are called {@code old-kernel} and so on (with
 * {@code late} the new kernel's refuses until {@code startService kernel}), or changes one key; {@code operator} goes
 * over the operator's file; {@code bytes} sends part of a line; {@code announceUnanswered} leaves reports unanswered;
 * {@code drain} is SIGTERM, {@code hurry} a second SIGINT, and {@code stopped} gives lingering connections
 * their time and waits for the end and its exit code. The peers are the kernel, the records service,
 * announce, proxies ({@code p1}) and uwsgi callers ({@code u1}).
 */
class SceneTest {
    /** Every scene on every transport that works here. */
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
    void sceneIsFollowed(Path scene, String transport) throws Exception {
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
                        peers.play(lines.get(i));
                    } catch (IOException e) {
                        throw new AssertionError(scene + ":" + (i + 1) + ": " + lines.get(i) + ": " + e, e);
                    } catch (AssertionError e) {
                        throw new AssertionError(scene + ":" + (i + 1) + ": " + e.getMessage(), e);
                    }
                }
            }
        }
    }

    /** Everybody round the program, played by the lines of a scene. */
    private static final class ScenePeers implements AutoCloseable {
        private final ServerFixture fixture;
        private final Map<String, TestConnection> connections = new HashMap<>();
        private final Map<String, String> jobs = new HashMap<>();
        private boolean gauges = true;

        ScenePeers(ServerFixture fixture) {
            this.fixture = fixture;
        }

        void play(String line) throws Exception {
            String[] words = line.split(" ", 2);
            String argument = words.length > 1 ? words[1] : "";
            switch (words[0]) {
                case "clock" -> {
                    barrier();
                    fixture.clock().advance(Long.parseLong(argument) * 1000);
                }
                case "drain" -> {
                    barrier();
                    fixture.server.drain();
                }
                case "hurry" -> {
                    barrier();
                    fixture.server.signal(Lifecycle.Event.DRAIN_IMMEDIATELY);
                }
                case "reload" -> reload(argument);
                case "logged" -> {
                    barrier();
                    assertThat(fixture.logged)
                            .contains(argument.replace("$kernel", "/127.0.0.1:" + fixture.kernels.getLocalPort()));
                }
                case "mute" -> fixture.announceUnanswered = true;
                case "bytes" -> {
                    String[] part = argument.split(" ", 2);
                    connection(part[0]).write(part[1].getBytes(StandardCharsets.UTF_8));
                }
                case "stopped" -> stopped(argument);
                case "nogauges" -> gauges = false;
                case "quiet" -> {
                    barrier();
                    assertThat(
                                    argument.equals("kernel")
                                            ? kernelLines()
                                            : connection(argument).available())
                            .isZero();
                }
                case "down" -> fixture.stopService(argument);
                case "up" -> fixture.startService(argument);
                case "cut" -> cut(argument);
                default -> message(words[0], argument);
            }
        }

        private void reload(String argument) throws IOException {
            barrier();
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

        private void stopped(String exitCode) throws InterruptedException {
            fixture.clock().advance(DrainDeadlines.LINGER_MICROS); // the callers of a scene don't close their side
            assertThat(fixture.server.awaitStopped()).isEqualTo(exitCode.isEmpty() ? 0 : Integer.parseInt(exitCode));
        }

        private void cut(String peer) throws IOException {
            if (peer.equals("announce")) {
                fixture.closeAnnounceConnection();
            } else {
                connections.remove(peer).close();
            }
        }

        /** A line that is sent by a peer, or that a peer must get. */
        private void message(String direction, String text) throws Exception {
            String peer = direction.substring(0, direction.length() - 1);
            if (direction.endsWith("job")) {
                job(direction.charAt(direction.length() - 4) == '<', text.split(" ", 2));
            } else if (direction.endsWith(":")) {
                byte[] expected = ByteBufUtil.decodeHexDump(text);
                assertThat(connection(peer).bytes(expected.length)).isEqualTo(expected);
            } else if (direction.endsWith(">")) {
                send(peer, text);
            } else {
                expect(peer, text);
            }
        }

        /** Kernel lines about a job that the program named itself; the scene numbers it. */
        private void job(boolean expected, String[] words) throws IOException {
            JSONObject message = new JSONObject(words[1]);
            if (expected) {
                JSONObject actual = new JSONObject(kernelLine());
                String job = String.valueOf(actual.remove("job"));
                assertThat(jobs.computeIfAbsent(words[0], number -> job)).isEqualTo(job);
                assertThat(actual.similar(message))
                        .as("wanted %s, got %s", message, actual)
                        .isTrue();
            } else {
                connection("kernel").line(message.put("job", jobs.get(words[0])).toString());
            }
        }

        /** All that was written has been read: the loop looks at its sockets before it runs its tasks. */
        private void barrier() {
            fixture.clock().advance(0);
        }

        private TestConnection connection(String peer) throws IOException {
            TestConnection connection = connections.get(peer);
            if (connection == null) {
                connection = peer.equals("kernel")
                        ? new TestConnection(fixture.kernels.accept())
                        : peer.startsWith("records")
                                ? new TestConnection(fixture.records.accept())
                                : TestConnection.to(peer.startsWith("u") ? fixture.uwsgi : fixture.jsonrpc);
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
                        .line(text.replace("$now", Long.toString(fixture.clock().nowMicros() / 1000)));
            }
        }

        private static byte[] unescape(String text) {
            return text.replace("\\r", "\r").replace("\\n", "\n").getBytes(StandardCharsets.ISO_8859_1);
        }

        /** Bytes in hex, or vars as {@code NAME=value}, the body last behind a {@code +}. */
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
                    peer.equals("kernel") ? kernelLine() : connection(peer).line();
            if (expected.equals("closed")) {
                assertThat(actual).isNull();
            } else if (expected.startsWith("{")) {
                String text =
                        expected.replace("$now", Long.toString(fixture.clock().nowMicros() / 1000));
                assertThat(new JSONObject(actual).similar(new JSONObject(text)))
                        .as("wanted %s, got %s", text, actual)
                        .isTrue();
            } else {
                assertThat(actual).isEqualTo(expected);
            }
        }

        /** How many bytes the kernel has to read, questions for gauges left out. */
        private int kernelLines() throws IOException {
            TestConnection kernel = connection("kernel");
            int waiting = kernel.available();
            while (waiting > 0) {
                String line = kernel.line();
                if (!line.contains("\"SYSINFO\"")) {
                    return line.length();
                }
                answerGauges(line);
                waiting = kernel.available();
            }
            return 0;
        }

        private String kernelLine() throws IOException {
            String actual = connection("kernel").line();
            while (actual != null && actual.contains("\"SYSINFO\"")) {
                answerGauges(actual);
                actual = connection("kernel").line();
            }
            return actual;
        }

        private void answerGauges(String question) throws IOException {
            String ref = new JSONObject(question).getString("ref");
            if (gauges || ref.equals("sync")) {
                connection("kernel").line("{\"type\":\"INFO\",\"ref\":\"" + ref + "\",\"gauges\":[0.3,1,0.1,2]}");
            }
        }

        /** Status, the headers that matter here, and the body. */
        private static String response(TestConnection connection) throws IOException {
            StringBuilder actual =
                    new StringBuilder(String.valueOf(connection.line()).replace("HTTP/1.1 ", ""));
            int length = 0;
            for (String header = connection.line(); header != null && !header.isEmpty(); header = connection.line()) {
                if (header.startsWith("Content-Length: ")) {
                    length = Integer.parseInt(header.substring(16));
                } else if (!header.startsWith("X-")) {
                    actual.append(" | ").append(header);
                }
            }
            return actual + " | " + new String(connection.bytes(length), StandardCharsets.ISO_8859_1).trim();
        }

        @Override
        public void close() throws IOException {
            for (TestConnection connection : connections.values()) {
                connection.close();
            }
        }
    }
}

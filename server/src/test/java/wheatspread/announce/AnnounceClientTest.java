package wheatspread.announce;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wheatspread.logging.EventLog;

/** Guards against a client that stops reporting after the service was unavailable, silent or sent partial answers. */
@Timeout(30)
class AnnounceClientTest {
    private static final int TIMEOUT_MS = 5_000;
    private static final int MAX_REPLACED_CONNECTIONS = 5;
    private static final String ANSWER = "HTTP/1.1 204 No Content\r\n\r\n";

    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private AnnounceClient client;

    private static ServerSocket listen(int port) throws IOException {
        ServerSocket service = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        service.setSoTimeout(TIMEOUT_MS);
        return service;
    }

    private void startReports(ServerSocket service) {
        client = new AnnounceClient(
                new Bootstrap().group(loop).channel(NioSocketChannel.class),
                (InetSocketAddress) service.getLocalSocketAddress(),
                "w1",
                EventLog.lines(line -> {}));
        loop.submit(() -> client.announce(true)).syncUninterruptibly();
    }

    /** Reads a complete report; returns null if the connection has ended. */
    private static String readReport(BufferedReader reader) throws IOException {
        String head = reader.readLine();
        if (head == null) {
            return null;
        }
        int length = 0;
        for (String line = reader.readLine(); !line.isEmpty(); line = reader.readLine()) {
            if (line.toLowerCase().startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(15).trim());
            }
        }
        char[] body = new char[length];
        for (int received = 0; received < length; ) {
            received += reader.read(body, received, length - received);
        }
        return head + " " + new String(body);
    }

    private static BufferedReader reader(Socket socket) throws IOException {
        socket.setSoTimeout(TIMEOUT_MS);
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** A connection and the first report received on it. */
    private record Reported(Socket socket, BufferedReader reader, String report) {}

    /**
     * Accepts a connection that carries a report. If a report is due while a connection is being opened, the client
     * replaces that connection, which then carries no report. This occurs because the 600 ms heartbeat may coincide
     * with the repeated report 150 ms after a change.
     */
    private static Reported acceptReport(ServerSocket service) throws IOException {
        for (int attempt = 0; attempt < MAX_REPLACED_CONNECTIONS; attempt++) {
            Socket socket = service.accept();
            BufferedReader reader = reader(socket);
            String report = readReport(reader);
            if (report != null) {
                return new Reported(socket, reader, report);
            }
        }
        throw new AssertionError("no report on any of " + MAX_REPLACED_CONNECTIONS + " connections");
    }

    /**
     * Answers a report before the next report is due, and reads the next report from the same connection. On a busy
     * machine the answer may be late and its connection replaced; then the next connection is answered instead.
     */
    private static Reported acceptAndAnswerInTime(ServerSocket service) throws IOException {
        for (int attempt = 0; attempt < MAX_REPLACED_CONNECTIONS; attempt++) {
            Reported reported = acceptReport(service);
            assertThat(reported.report).isEqualTo("PUT /announce/w1 HTTP/1.1 {\"accepting\":\"true\"}");
            send(reported.socket, ANSWER);
            String next = readReport(reported.reader);
            if (next != null) {
                assertThat(next).as("next report on the answered connection").startsWith("PUT");
                return reported;
            }
        }
        throw new AssertionError("none of " + MAX_REPLACED_CONNECTIONS + " connections reused after an answer");
    }

    @AfterEach
    void closeAll() throws Exception {
        loop.submit(client::close).sync();
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
    }

    /** The next report is sent over a new connection, and the connection without an answer is closed. */
    @ParameterizedTest
    @ValueSource(strings = {"", "HTTP/1.1 2"})
    void reportsOverANewConnectionAfterAMissingOrPartialAnswer(String partialAnswer) throws Exception {
        try (ServerSocket service = listen(0)) {
            startReports(service);
            Reported first = acceptAndAnswerInTime(service);
            send(first.socket, partialAnswer);
            Reported second = acceptReport(service);
            assertThat(second.report).endsWith("{\"accepting\":\"true\"}");
            assertThat(readReport(first.reader))
                    .as("report on the connection without an answer, which is closed")
                    .isNull();
            send(second.socket, ANSWER);
            assertThat(readReport(second.reader)).startsWith("PUT");
        }
    }

    @Test
    void reportsAgainAfterTheServiceRestarts() throws Exception {
        ServerSocket service = listen(0);
        startReports(service);
        Socket first = service.accept();
        assertThat(readReport(reader(first))).startsWith("PUT");
        service.close();
        first.close();
        loop.submit(() -> client.announce(false)).sync(); // no service receives this change
        try (ServerSocket restarted = listen(service.getLocalPort())) {
            assertThat(acceptReport(restarted).report).endsWith("{\"accepting\":\"false\"}");
        }
    }
}

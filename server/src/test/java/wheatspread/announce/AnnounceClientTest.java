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

/** A list that goes quiet, answers in part, or is away for a while hears of the server again by itself. */
@Timeout(30)
class AnnounceClientTest {
    private static final int PATIENCE_MS = 5_000;
    private static final String ANSWER = "HTTP/1.1 204 No Content\r\n\r\n";

    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private AnnounceClient client;

    private static ServerSocket list(int port) throws IOException {
        ServerSocket list = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        list.setSoTimeout(PATIENCE_MS);
        return list;
    }

    private void report(ServerSocket to) {
        client = new AnnounceClient(
                new Bootstrap().group(loop).channel(NioSocketChannel.class),
                (InetSocketAddress) to.getLocalSocketAddress(),
                "w1",
                EventLog.lines(line -> {}));
        loop.submit(() -> client.announce(true)).syncUninterruptibly();
    }

    /** Reads one report whole; null where the connection has ended. */
    private static String read(BufferedReader from) throws IOException {
        String head = from.readLine();
        if (head == null) {
            return null;
        }
        int length = 0;
        for (String line = from.readLine(); !line.isEmpty(); line = from.readLine()) {
            if (line.toLowerCase().startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(15).trim());
            }
        }
        char[] body = new char[length];
        for (int got = 0; got < length; ) {
            got += from.read(body, got, length - got);
        }
        return head + " " + new String(body);
    }

    private static BufferedReader reader(Socket socket) throws IOException {
        socket.setSoTimeout(PATIENCE_MS);
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    }

    private static void say(Socket to, String text) throws IOException {
        to.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    @AfterEach
    void end() throws Exception {
        loop.submit(client::close).sync();
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
    }

    /** The report goes over a new connection, and the quiet one is let go. */
    @ParameterizedTest
    @ValueSource(strings = {"", "HTTP/1.1 2"})
    void aListThatGoesQuietHearsOverANewConnection(String part) throws Exception {
        try (ServerSocket list = list(0)) {
            report(list);
            Socket first = list.accept();
            BufferedReader fromFirst = reader(first);
            assertThat(read(fromFirst)).isEqualTo("PUT /announce/w1 HTTP/1.1 {\"accepting\":\"true\"}");
            say(first, ANSWER);
            assertThat(read(fromFirst)).as("one connection while it answers").startsWith("PUT");
            say(first, part); // and no more
            Socket second = list.accept();
            BufferedReader fromSecond = reader(second);
            assertThat(read(fromSecond)).endsWith("{\"accepting\":\"true\"}");
            assertThat(read(fromFirst)).as("the quiet connection is closed").isNull();
            say(second, ANSWER);
            assertThat(read(fromSecond)).startsWith("PUT");
        }
    }

    @Test
    void aListThatWasAwayHearsAgain() throws Exception {
        ServerSocket list = list(0);
        report(list);
        Socket first = list.accept();
        assertThat(read(reader(first))).startsWith("PUT");
        list.close();
        first.close();
        loop.submit(() -> client.announce(false)).sync(); // nobody hears of the change
        try (ServerSocket again = list(list.getLocalPort());
                Socket next = again.accept()) {
            assertThat(read(reader(next))).endsWith("{\"accepting\":\"false\"}");
        }
    }
}

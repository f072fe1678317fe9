package wheatspread.kernel;

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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import wheatspread.core.Kernel;
import wheatspread.logging.EventLog;

/** The link to a kernel that moves, against bare sockets. */
class KernelLinkTest {
    private static final int PATIENCE_MS = 5_000;

    private static final class Far implements AutoCloseable {
        final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

        Far() throws IOException {
            socket.setSoTimeout(PATIENCE_MS);
        }

        InetSocketAddress address() {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }

        Socket accept() throws IOException {
            Socket one = socket.accept();
            one.setSoTimeout(PATIENCE_MS);
            return one;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
    }

    private static void say(Socket socket, String line) throws IOException {
        socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private static String type(BufferedReader from) throws IOException {
        return new JSONObject(from.readLine()).getString("type");
    }

    /** A listener that tells only when the first link is up. */
    private record Up(CountDownLatch latch) implements Kernel.Listener {
        @Override
        public void booted(boolean cold, long age) {
            latch.countDown();
        }

        @Override
        public void ended(String job, Kernel.End end, long took, byte[] result) {}

        @Override
        public void blocked(String job, long notice, byte[] call) {}

        @Override
        public void gauges(double[] row) {}

        @Override
        public void notStarted(String job) {}
    }

    @Test
    @Timeout(30)
    void aSecondMoveWhileTheOldLinkIsAskedForItsWordOpensOneLinkOnly() throws Exception {
        EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (Far old = new Far();
                Far between = new Far();
                Far last = new Far()) {
            Up up = new Up(new CountDownLatch(1));
            KernelLink link = new KernelLink(
                    new Bootstrap().group(loop).channel(NioSocketChannel.class),
                    old.address(),
                    up,
                    EventLog.lines(line -> {}));
            loop.submit(link::open).sync();
            Socket first = old.accept();
            BufferedReader fromFirst = reader(first);
            assertThat(type(fromFirst)).isEqualTo("OPEN");
            say(first, "{\"type\":\"BOOTED\",\"state\":\"WARM\",\"took\":5}");
            assertThat(type(fromFirst)).isEqualTo("SYSINFO");
            say(first, "{\"type\":\"INFO\",\"gauges\":[],\"ref\":\"sync\"}");
            assertThat(up.latch.await(PATIENCE_MS, TimeUnit.MILLISECONDS)).isTrue();
            loop.submit(() -> link.run("1", "stew", new byte[1])).sync();
            assertThat(type(fromFirst)).isEqualTo("SCHED");

            loop.submit(() -> link.moveTo(between.address())).sync();
            between.accept();
            assertThat(type(fromFirst)).isEqualTo("SYSINFO"); // the old link is asked, and never answers
            loop.submit(() -> link.moveTo(last.address())).sync();
            Socket moved = last.accept(); // a third link would take its place, and nobody close this one
            assertThat(type(reader(moved))).isEqualTo("OPEN");
            loop.submit(link::close).sync();
        } finally {
            loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
        }
    }
}

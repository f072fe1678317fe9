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
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import wheatspread.core.Kernel;
import wheatspread.logging.EventLog;

/** Tests a session with a kernel that moves to another address, with plain sockets as kernels. */
class KernelLinkTest {
    private static final int TIMEOUT_MS = 5_000;

    private static final class FakeKernel implements AutoCloseable {
        final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        /** Referenced until the end, since the garbage collector closes sockets without a reference. */
        private final List<Socket> accepted = new ArrayList<>();

        FakeKernel() throws IOException {
            socket.setSoTimeout(TIMEOUT_MS);
        }

        InetSocketAddress address() {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }

        Socket accept() throws IOException {
            Socket link = socket.accept();
            link.setSoTimeout(TIMEOUT_MS);
            accepted.add(link);
            return link;
        }

        @Override
        public void close() throws IOException {
            for (Socket link : accepted) {
                link.close();
            }
            socket.close();
        }
    }

    private static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
    }

    private static void send(Socket socket, String line) throws IOException {
        socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private static String readType(BufferedReader reader) throws IOException {
        return new JSONObject(reader.readLine()).getString("type");
    }

    /** Counts down a latch when the kernel is up, and ignores all other reports. */
    private record BootListener(CountDownLatch latch) implements Kernel.Listener {
        @Override
        public void onBooted(boolean cold, long ageMicros) {
            latch.countDown();
        }

        @Override
        public void onRunEnded(String job, Kernel.End end, long elapsedMicros, byte[] result) {}

        @Override
        public void onDependencyCallRequested(String job, long noticeNumber, byte[] call) {}

        @Override
        public void onGauges(double[] readings) {}

        @Override
        public void onRunNotStarted(String job) {}
    }

    /** Guards against a leaked connection if the address changes twice before the kernel confirms the commands. */
    @Test
    @Timeout(30)
    void opensOnlyOneConnectionOnSecondMoveDuringConfirmation() throws Exception {
        EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (FakeKernel old = new FakeKernel();
                FakeKernel intermediate = new FakeKernel();
                FakeKernel last = new FakeKernel()) {
            BootListener listener = new BootListener(new CountDownLatch(1));
            KernelLink link = new KernelLink(
                    new Bootstrap().group(loop).channel(NioSocketChannel.class),
                    old.address(),
                    listener,
                    EventLog.lines(line -> {}));
            loop.submit(link::open).sync();
            Socket first = old.accept();
            BufferedReader firstReader = reader(first);
            assertThat(readType(firstReader)).isEqualTo("OPEN");
            send(first, "{\"type\":\"BOOTED\",\"state\":\"WARM\",\"took\":5}");
            assertThat(readType(firstReader)).isEqualTo("SYSINFO");
            send(first, "{\"type\":\"INFO\",\"gauges\":[],\"ref\":\"sync\"}");
            assertThat(listener.latch.await(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
            loop.submit(() -> link.run("1", "stew", new byte[1])).sync();
            assertThat(readType(firstReader)).isEqualTo("SCHED");

            loop.submit(() -> link.moveTo(intermediate.address())).sync();
            intermediate.accept();
            assertThat(readType(firstReader)).isEqualTo("SYSINFO"); // the old connection never confirms its commands
            loop.submit(() -> link.moveTo(last.address())).sync();
            Socket moved = last.accept(); // a third connection would replace this connection and leave it open
            assertThat(readType(reader(moved))).isEqualTo("OPEN");
            loop.submit(link::close).sync();
        } finally {
            loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
        }
    }
}

package wheatspread.kernel;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.BufferedReader;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import wheatspread.admission.Idempotency;
import wheatspread.logging.EventLog;

/** Tests a session with a kernel that moves to another address, with plain sockets as kernels. */
class KernelLinkTest {
    /** Guards against a leaked connection if the address changes twice before the kernel confirms the commands. */
    @Test
    @Timeout(30)
    void opensOnlyOneConnectionOnSecondMoveDuringConfirmation() throws Exception {
        EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (FakeKernel old = new FakeKernel();
                FakeKernel intermediate = new FakeKernel();
                FakeKernel last = new FakeKernel()) {
            RecordingListener listener = new RecordingListener();
            KernelLink link = new KernelLink(
                    new Bootstrap().group(loop).channel(NioSocketChannel.class),
                    old.address(),
                    listener,
                    EventLog.lines(line -> {}));
            loop.submit(link::open).sync();
            Socket first = old.accept();
            BufferedReader firstReader = FakeKernel.reader(first);
            assertThat(FakeKernel.readType(firstReader)).isEqualTo("OPEN");
            FakeKernel.send(first, "{\"type\":\"BOOTED\",\"state\":\"WARM\",\"took\":5}");
            assertThat(FakeKernel.readType(firstReader)).isEqualTo("SYSINFO");
            FakeKernel.send(first, "{\"type\":\"INFO\",\"gauges\":[],\"ref\":\"sync\"}");
            assertThat(listener.booted.await(FakeKernel.TIMEOUT_MS, TimeUnit.MILLISECONDS))
                    .isTrue();
            loop.submit(() -> link.run("1", "stew", Idempotency.IDEMPOTENT, new byte[1]))
                    .sync();
            assertThat(FakeKernel.readType(firstReader)).isEqualTo("SCHED");

            loop.submit(() -> link.moveTo(intermediate.address())).sync();
            intermediate.accept();
            assertThat(FakeKernel.readType(firstReader))
                    .isEqualTo("SYSINFO"); // the old connection never confirms its commands
            loop.submit(() -> link.moveTo(last.address())).sync();
            Socket moved = last.accept(); // a third connection would replace this connection and leave it open
            assertThat(FakeKernel.readType(FakeKernel.reader(moved))).isEqualTo("OPEN");
            loop.submit(link::close).sync();
        } finally {
            loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
        }
    }
}

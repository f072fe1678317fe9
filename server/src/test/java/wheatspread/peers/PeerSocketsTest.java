package wheatspread.peers;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import wheatspread.core.Clock;
import wheatspread.logging.EventLog;
import wheatspread.transport.Transport;

/** Tests messages over sockets on the loopback interface, at ephemeral ports. */
class PeerSocketsTest {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);
    private static final int MAX_WAIT_SECONDS = 20;

    private final Transport transport = Transport.named("nio");
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, transport.ioHandlers());
    private final EventLoop loop = group.next();
    private final PeerCounters counters = new PeerCounters();
    private final LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();

    @AfterEach
    void stopLoop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private void onMessage(ByteBuf message) {
        received.add(ByteBufUtil.getBytes(message));
    }

    private static byte[] randomBytes(int length) {
        byte[] bytes = new byte[length];
        new SplittableRandom(length).nextBytes(bytes);
        return bytes;
    }

    private static InetSocketAddress boundAddress(ChannelFuture binding) throws Exception {
        assertThat(binding.await(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(binding.isSuccess()).isTrue();
        return (InetSocketAddress) binding.channel().localAddress();
    }

    /** Runs a task on the event loop and waits until it is done. */
    private void runOnLoop(Runnable task) throws Exception {
        Future<?> done = loop.submit(task);
        assertThat(done.await(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(done.isSuccess()).isTrue();
    }

    @Test
    @Timeout(60)
    void datagramOfTheLargestSizeArrivesUnchanged() throws Exception {
        PeerDatagrams datagrams = new PeerDatagrams(transport, loop, counters, EventLog.NONE, this::onMessage);
        InetSocketAddress address = boundAddress(datagrams.bind(ANY_PORT));
        byte[] message = randomBytes(PeerDatagrams.MAX_DATAGRAM_BYTES);
        runOnLoop(() -> datagrams.send(address, message));
        assertThat(received.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(message);
        runOnLoop(datagrams::close);
    }

    @Test
    @Timeout(60)
    void largeMessageArrivesUnchangedOnAStream() throws Exception {
        PeerStreams streams = new PeerStreams(transport, loop, new LoopClock(), counters, this::onMessage);
        InetSocketAddress address = boundAddress(streams.bind(ANY_PORT));
        byte[] message = randomBytes(500_000);
        runOnLoop(() -> streams.send(address, message));
        assertThat(received.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(message);
        runOnLoop(streams::close);
    }

    /** Guards against failed streams that still count as open: 20 failures exceed the limit of open streams. */
    @Test
    @Timeout(60)
    void failedStreamsAreCountedAndDoNotBlockLaterOnes() throws Exception {
        PeerStreams streams = new PeerStreams(transport, loop, new LoopClock(), counters, this::onMessage);
        InetSocketAddress address = boundAddress(streams.bind(ANY_PORT));
        PeerStreams closedStreams = new PeerStreams(transport, loop, new LoopClock(), counters, this::onMessage);
        ChannelFuture closedBinding = closedStreams.bind(ANY_PORT);
        InetSocketAddress closedAddress = boundAddress(closedBinding);
        closedBinding.channel().close().await(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
        for (int i = 1; i <= 20; i++) {
            runOnLoop(() -> streams.send(closedAddress, randomBytes(10)));
            awaitFailures(i);
        }
        byte[] message = randomBytes(5_000);
        runOnLoop(() -> streams.send(address, message));
        assertThat(received.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(message);
        runOnLoop(streams::close);
    }

    private void awaitFailures(int expected) throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_WAIT_SECONDS);
        String[] text = {""};
        while (!text[0].contains("unsent=" + expected + "\n") && System.nanoTime() < deadlineNanos) {
            runOnLoop(() -> text[0] = counters.text(""));
        }
        assertThat(text[0]).contains("unsent=" + expected + "\n");
    }

    /** A clock that uses the system time and the event loop's timers. */
    private final class LoopClock implements Clock {
        @Override
        public long nowMicros() {
            return System.currentTimeMillis() * 1_000;
        }

        @Override
        public Timer schedule(long micros, Runnable task) {
            Future<?> scheduled = loop.schedule(task, micros, TimeUnit.MICROSECONDS);
            return () -> scheduled.cancel(false);
        }

        @Override
        public void runAfterTurn(Runnable task) {
            loop.execute(task);
        }
    }
}

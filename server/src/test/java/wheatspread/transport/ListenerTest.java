package wheatspread.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import wheatspread.connections.ConnectionLimits;
import wheatspread.core.FakeClock;
import wheatspread.logging.EventLog;
import wheatspread.scheduling.IterationBudget;

class ListenerTest {
    private static final int MEBIBYTE_BYTES = 1024 * 1024;

    private final FakeClock clock = new FakeClock(100_000_000, Runnable::run);
    private final List<String> events = new ArrayList<>();
    private final EventLoopScheduler scheduler =
            new EventLoopScheduler(Transport.named("nio"), IterationBudget.DEFAULT, 1, EventLog.lines(events::add));
    private final Listener listener = new Listener(
            null, scheduler, clock, new ThreeByteFront(), ConnectionLimits.defaults(100), EventLog.lines(events::add));

    /** A protocol with messages of three bytes, which a test answers by calling {@code answerRequest}. */
    private final class ThreeByteFront implements Front {
        @Override
        public ClientChannelHandler newHandler(Listener owner) {
            return new ThreeByteHandler(owner);
        }

        @Override
        public byte[] rejectionBytes() {
            return new byte[0];
        }
    }

    private final class ThreeByteHandler extends ClientChannelHandler {
        private int openRequests;

        ThreeByteHandler(Listener owner) {
            super(owner);
        }

        @Override
        protected int readMessages(ByteBuf bytes) {
            int messages = 0;
            if (bytes.getByte(bytes.readerIndex()) == '!') {
                throw new IllegalStateException("simulated fault of the front");
            }
            for (; bytes.readableBytes() >= 3; messages++) {
                events.add(bytes.readCharSequence(3, StandardCharsets.US_ASCII).toString());
                openRequests++;
            }
            return messages;
        }

        @Override
        protected int openRequests() {
            return openRequests;
        }

        @Override
        protected void clientDisconnected() {
            events.add("disconnected with open requests: " + openRequests);
        }

        @Override
        public void notifyDraining() {
            events.add("notified");
        }

        private void answerRequest() {
            openRequests--;
            answerWritten();
        }
    }

    private EmbeddedChannel openChannel() {
        return new EmbeddedChannel(listener.newEmbeddedHandler(1));
    }

    private static void receive(EmbeddedChannel channel, String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    @Test
    void buffersPartialMessageOnlyUntilItIsComplete() {
        EmbeddedChannel channel = openChannel();
        receive(channel, "abcde");
        assertThat(listener.table().partialBytes()).isPositive();
        receive(channel, "fgh");
        assertThat(listener.table().partialBytes()).isPositive();
        receive(channel, "i");
        assertThat(events).containsExactly("abc", "def", "ghi");
        assertThat(listener.table().partialBytes()).isZero();
    }

    @Test
    void drainingConnectionStopsReadingAndClosesAfterLastAnswer() {
        EmbeddedChannel channel = openChannel();
        ThreeByteHandler handler = channel.pipeline().get(ThreeByteHandler.class);
        receive(channel, "abcd");
        handler.drain();
        assertThat(channel.config().isAutoRead()).isFalse();
        assertThat(listener.table().partialBytes()).isZero();
        receive(channel, "efghi");
        assertThat(channel.isOpen()).isTrue();
        handler.answerRequest();
        assertThat(channel.isOpen()).isFalse();
        assertThat(events).containsExactly("abc", "disconnected with open requests: 0");
        assertThat(listener.table().size()).isZero();
    }

    /** An exception while one message is read must not lose the answers to earlier requests. */
    @Test
    void exceptionInMessageDrainsItsConnection() {
        EmbeddedChannel channel = openChannel();
        ThreeByteHandler handler = channel.pipeline().get(ThreeByteHandler.class);
        receive(channel, "abc");
        receive(channel, "!");
        assertThat(channel.isOpen()).isTrue();
        receive(channel, "def");
        handler.answerRequest();
        assertThat(channel.isOpen()).isFalse();
        assertThat(events)
                .hasSize(3)
                .contains("abc", "disconnected with open requests: 0")
                .anyMatch(line -> line.startsWith("caller_connection_failed"));
    }

    /** Guards against unbounded memory for answers that clients do not read. */
    @Test
    void closesConnectionWithMostUnreadAnswers() {
        List<EmbeddedChannel> channels = new ArrayList<>();
        for (int size : new int[] {3, 9, 5}) {
            EmbeddedChannel channel = openChannel();
            channel.write(Unpooled.wrappedBuffer(new byte[size * MEBIBYTE_BYTES])); // not flushed, so it stays pending
            channels.add(channel);
        }
        clock.fireAll();
        assertThat(channels).extracting(EmbeddedChannel::isOpen).containsExactly(true, false, true);
        channels.forEach(EmbeddedChannel::finishAndReleaseAll);
    }

    @Test
    void notifiesConnectionOpenedWhileDraining() {
        openChannel();
        listener.notifyDraining();
        assertThat(events).containsExactly("notified");
        openChannel();
        assertThat(events).hasSize(2);
    }

    /** Guards against a timer per connection: the listener keeps one timer for all time limits. */
    @Test
    void connectionsShareOneTimer() {
        for (int i = 0; i < 100; i++) {
            receive(openChannel(), "abc");
            clock.advanceWithoutFiring(1_000);
        }
        assertThat(clock.pendingCount()).isLessThanOrEqualTo(1);
    }

    @Test
    void identifiesSourcesByIpv4AddressOrIpv6Network() throws Exception {
        long loopbackSource = sourceOf("127.0.0.1");
        assertThat(loopbackSource).isEqualTo(sourceOf("127.0.0.1")).isNotEqualTo(sourceOf("127.0.0.2"));
        assertThat(sourceOf("2001:db8::1"))
                .isEqualTo(sourceOf("2001:db8::2"))
                .isNotEqualTo(sourceOf("2001:db9::1"))
                .isNotEqualTo(loopbackSource);
    }

    private static long sourceOf(String address) throws Exception {
        return Listener.sourceOf(new InetSocketAddress(InetAddress.getByName(address), 1));
    }
}

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
    private static final int MEGABYTE = 1024 * 1024;

    private final FakeClock clock = new FakeClock(100_000_000, Runnable::run);
    private final List<String> events = new ArrayList<>();
    private final EventLoopScheduler scheduler =
            new EventLoopScheduler(Transport.named("nio"), IterationBudget.DEFAULT, 1, EventLog.lines(events::add));
    private final Listener listener = new Listener(
            null, scheduler, clock, new ThreeByteFront(), ConnectionLimits.defaults(100), EventLog.lines(events::add));

    /** A protocol whose messages are three bytes; each has to be answered by hand. */
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
                throw new IllegalStateException("a fault of the front");
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
            events.add("gone with " + openRequests);
        }

        @Override
        public void notifyDraining() {
            events.add("last call");
        }

        private void answerOne() {
            openRequests--;
            answerWritten();
        }
    }

    private EmbeddedChannel open() {
        return new EmbeddedChannel(listener.newEmbeddedHandler(1));
    }

    private static void receive(EmbeddedChannel channel, String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    @Test
    void partialMessageIsBufferedOnlyUntilItIsWhole() {
        EmbeddedChannel channel = open();
        receive(channel, "abcde");
        assertThat(listener.table().partialBytes()).isPositive();
        receive(channel, "fgh");
        assertThat(listener.table().partialBytes()).isPositive();
        receive(channel, "i");
        assertThat(events).containsExactly("abc", "def", "ghi");
        assertThat(listener.table().partialBytes()).isZero();
    }

    @Test
    void drainingConnectionReadsNoMoreAndClosesOnceAllIsAnswered() {
        EmbeddedChannel channel = open();
        ThreeByteHandler caller = channel.pipeline().get(ThreeByteHandler.class);
        receive(channel, "abcd");
        caller.drain();
        assertThat(channel.config().isAutoRead()).isFalse();
        assertThat(listener.table().partialBytes()).isZero();
        receive(channel, "efghi");
        assertThat(channel.isOpen()).isTrue();
        caller.answerOne();
        assertThat(channel.isOpen()).isFalse();
        assertThat(events).containsExactly("abc", "gone with 0");
        assertThat(listener.table().size()).isZero();
    }

    /** A fault in one message must not lose the answers to others. */
    @Test
    void faultInAMessageDrainsItsConnection() {
        EmbeddedChannel channel = open();
        ThreeByteHandler caller = channel.pipeline().get(ThreeByteHandler.class);
        receive(channel, "abc");
        receive(channel, "!");
        assertThat(channel.isOpen()).isTrue();
        receive(channel, "def");
        caller.answerOne();
        assertThat(channel.isOpen()).isFalse();
        assertThat(events)
                .hasSize(3)
                .contains("abc", "gone with 0")
                .anyMatch(line -> line.startsWith("caller_connection_failed"));
    }

    /** Bounds the memory of answers that callers do not read. */
    @Test
    void callerWithMostUnreadAnswersIsClosed() {
        List<EmbeddedChannel> channels = new ArrayList<>();
        for (int size : new int[] {3, 9, 5}) {
            EmbeddedChannel channel = open();
            channel.write(Unpooled.wrappedBuffer(new byte[size * MEGABYTE])); // not flushed, so it stays pending
            channels.add(channel);
        }
        clock.fireAll();
        assertThat(channels).extracting(EmbeddedChannel::isOpen).containsExactly(true, false, true);
        channels.forEach(EmbeddedChannel::finishAndReleaseAll);
    }

    @Test
    void connectionOpenedWhileDrainingIsNotifiedToo() {
        open();
        listener.notifyDraining();
        assertThat(events).containsExactly("last call");
        open();
        assertThat(events).hasSize(2);
    }

    /** One timer serves all limits, whatever the number of connections. */
    @Test
    void connectionsShareOneTimer() {
        for (int i = 0; i < 100; i++) {
            receive(open(), "abc");
            clock.advanceWithoutFiring(1_000);
        }
        assertThat(clock.pendingCount()).isLessThanOrEqualTo(1);
    }

    @Test
    void sourcesDifferByAddressOrNetwork() throws Exception {
        long one = source("127.0.0.1");
        assertThat(one).isEqualTo(source("127.0.0.1")).isNotEqualTo(source("127.0.0.2"));
        assertThat(source("2001:db8::1"))
                .isEqualTo(source("2001:db8::2"))
                .isNotEqualTo(source("2001:db9::1"))
                .isNotEqualTo(one);
    }

    private static long source(String address) throws Exception {
        return Listener.sourceOf(new InetSocketAddress(InetAddress.getByName(address), 1));
    }
}

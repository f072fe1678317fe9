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
    private final List<String> heard = new ArrayList<>();
    private final EventLoopScheduler turns =
            new EventLoopScheduler(Transport.named("nio"), IterationBudget.USUAL, 1, EventLog.lines(heard::add));
    private final Listener listener =
            new Listener(null, turns, clock, new Echo(), ConnectionLimits.usual(100), EventLog.lines(heard::add));

    /** A front whose messages are words of three bytes; it owes an answer to each until it is told. */
    private final class Echo implements Front {
        @Override
        public ClientChannelHandler caller(Listener of) {
            return new Word(of);
        }

        @Override
        public byte[] refusal() {
            return new byte[0];
        }
    }

    private final class Word extends ClientChannelHandler {
        private int open;

        Word(Listener of) {
            super(of);
        }

        @Override
        protected int read(ByteBuf bytes) {
            int whole = 0;
            if (bytes.getByte(bytes.readerIndex()) == '!') {
                throw new IllegalStateException("a fault of the front");
            }
            for (; bytes.readableBytes() >= 3; whole++) {
                heard.add(bytes.readCharSequence(3, StandardCharsets.US_ASCII).toString());
                open++;
            }
            return whole;
        }

        @Override
        protected int open() {
            return open;
        }

        @Override
        protected void gone() {
            heard.add("gone with " + open);
        }

        @Override
        public void lastCall() {
            heard.add("last call");
        }

        private void done() {
            open--;
            answered();
        }
    }

    private EmbeddedChannel open() {
        return new EmbeddedChannel(listener.callerOf(1));
    }

    private static void say(EmbeddedChannel channel, String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    @Test
    void whatIsNotWholeIsHeldAndNothingIsAtRest() {
        EmbeddedChannel channel = open();
        say(channel, "abcde");
        assertThat(listener.table().partialBytes()).isPositive();
        say(channel, "fgh");
        assertThat(listener.table().partialBytes()).isPositive();
        say(channel, "i");
        assertThat(heard).containsExactly("abc", "def", "ghi");
        assertThat(listener.table().partialBytes()).isZero();
    }

    @Test
    void whoLeavesIsReadNoMoreAndClosesOnceAllIsAnswered() {
        EmbeddedChannel channel = open();
        Word caller = channel.pipeline().get(Word.class);
        say(channel, "abcd");
        caller.leave();
        assertThat(channel.config().isAutoRead()).isFalse();
        assertThat(listener.table().partialBytes()).isZero();
        say(channel, "efghi");
        assertThat(channel.isOpen()).isTrue();
        caller.done();
        assertThat(channel.isOpen()).isFalse();
        assertThat(heard).containsExactly("abc", "gone with 0");
        assertThat(listener.table().size()).isZero();
    }

    /** A fault in one message takes no answers along that are owed to others. */
    @Test
    void aFaultInAMessageEndsItsConnectionInOrder() {
        EmbeddedChannel channel = open();
        Word caller = channel.pipeline().get(Word.class);
        say(channel, "abc");
        say(channel, "!");
        assertThat(channel.isOpen()).isTrue();
        say(channel, "def");
        caller.done();
        assertThat(channel.isOpen()).isFalse();
        assertThat(heard)
                .hasSize(3)
                .contains("abc", "gone with 0")
                .anyMatch(line -> line.startsWith("caller_connection_failed"));
    }

    /** Guards the heap against callers that ask and do not read their answers. */
    @Test
    void theCallerFurthestBehindIsClosedWhereTooMuchWaits() {
        List<EmbeddedChannel> channels = new ArrayList<>();
        for (int size : new int[] {3, 9, 5}) {
            EmbeddedChannel channel = open();
            channel.write(Unpooled.wrappedBuffer(new byte[size * MEGABYTE])); // not flushed: it waits
            channels.add(channel);
        }
        clock.fireAll();
        assertThat(channels).extracting(EmbeddedChannel::isOpen).containsExactly(true, false, true);
        channels.forEach(EmbeddedChannel::finishAndReleaseAll);
    }

    @Test
    void whoComesWhileTheServerLeavesHearsOfItToo() {
        open();
        listener.lastCall();
        assertThat(heard).containsExactly("last call");
        open();
        assertThat(heard).hasSize(2);
    }

    /** One timer stands for all limits, whatever the number of connections. */
    @Test
    void connectionsHaveNoTimersOfTheirOwn() {
        for (int i = 0; i < 100; i++) {
            say(open(), "abc");
            clock.skip(1_000);
        }
        assertThat(clock.pending()).isLessThanOrEqualTo(1);
    }

    @Test
    void sourcesAreToldApartByAddressOrNetwork() throws Exception {
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

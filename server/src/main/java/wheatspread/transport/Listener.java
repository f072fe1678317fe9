package wheatspread.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannel;
import io.netty.channel.WriteBufferWaterMark;
import java.io.IOException;
import java.net.Inet4Address;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;
import wheatspread.connections.Connection;
import wheatspread.connections.ConnectionActions;
import wheatspread.connections.ConnectionLimits;
import wheatspread.connections.ConnectionLimits.Refusal;
import wheatspread.connections.ConnectionTable;
import wheatspread.core.Clock;
import wheatspread.logging.EventLog;

/**
 * A listening socket with the callers it accepted. Who is let in, who makes room and whose time is over its
 * {@link ConnectionTable} decides; here that is done to sockets. It also bounds what waits to be written, and
 * passes on that the server leaves.
 */
public final class Listener {
    private static final int WRITE_LOW = 64 * 1024;
    private static final int WRITE_HIGH = 128 * 1024;
    private static final WriteBufferWaterMark MARKS = new WriteBufferWaterMark(WRITE_LOW, WRITE_HIGH);
    /** How often what waits to be written is looked at while anybody is beyond the high mark; us. */
    private static final long STALLED = 100_000;
    /** Accepting rests so long where the process has no descriptor left; us. */
    private static final long NO_DESCRIPTOR = 100_000;
    /** One read; most requests take less. */
    private static final int READ = 4 * 1024;

    private final EventLoop loop;
    private final EventLoopScheduler scheduler;
    private final Clock clock;
    private final Front front;
    private final ConnectionTable table;
    private final EventLog log;
    private final Set<ClientChannelHandler> writabilityChanged = new LinkedHashSet<>();
    /** One handle reads for all callers, one after another; each has but one read a turn. */
    private final RecvByteBufAllocator.ExtendedHandle reading = (RecvByteBufAllocator.ExtendedHandle)
            new FixedRecvByteBufAllocator(READ).maxMessagesPerRead(1).newHandle();

    private ServerChannel listening;
    /** A handed-over socket on which nothing is accepted yet. */
    private ServerChannel held;

    private boolean handedOver;
    private boolean stopped;
    private Clock.Timer timer;
    private long armedFor = Long.MAX_VALUE;
    private boolean watching;
    private boolean leaving;

    public Listener(
            EventLoop loop, EventLoopScheduler turns, Clock clock, Front front, ConnectionLimits limits, EventLog log) {
        this.loop = loop;
        this.scheduler = turns;
        this.clock = clock;
        this.front = front;
        this.log = log;
        table = new ConnectionTable(limits, clock.nowMicros(), this::arm);
    }

    /** The connections; only the loop's thread may look at them. */
    public ConnectionTable table() {
        return table;
    }

    /** Binds and accepts; what cannot be bound is thrown. Returns the address that was bound. */
    public InetSocketAddress listen(InetSocketAddress address) {
        ChannelFuture binding = new Bootstrap()
                .group(loop)
                .channel(scheduler.transport().serverChannel())
                .option(ChannelOption.SO_BACKLOG, 1024)
                .option(ChannelOption.SO_REUSEADDR, true)
                .handler(new Acceptor())
                .bind(address)
                .awaitUninterruptibly();
        if (!binding.isSuccess()) {
            throw new IllegalStateException(
                    "cannot listen on " + address + ": " + binding.cause().getMessage());
        }
        listening = (ServerChannel) binding.channel();
        return (InetSocketAddress) listening.localAddress();
    }

    /**
     * Holds a socket that listens already, handed over on descriptor {@code fd}; nothing is bound, and
     * nothing is accepted until {@link #acceptHeld}. Two processes that hold it share one queue, so what one
     * leaves there the other takes. Returns the address.
     */
    public InetSocketAddress hold(int fd) {
        try {
            ServerChannel channel = scheduler.transport().adoptListeningSocket(fd);
            channel.pipeline().addLast(new Acceptor());
            held = channel;
            handedOver = true;
            return (InetSocketAddress) channel.localAddress();
        } catch (IOException | RuntimeException e) { // Netty throws what the system said, checked or not
            throw new IllegalStateException("cannot accept on descriptor " + fd + ": " + e.getMessage(), e);
        }
    }

    /** Begins to accept on the socket that is held; on the loop's thread. */
    public void acceptHeld() {
        listening = held;
        held = null;
        loop.register(listening).addListener(done -> {
            if (!done.isSuccess()) {
                log.error("accept_failed", "error", done.cause());
            }
        });
    }

    /** Takes what the listening socket accepted. */
    private final class Acceptor extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            Channel channel = (Channel) message;
            long pause = table.pauseAfterAccept(clock.nowMicros());
            if (pause > 0) {
                rest(pause); // the others wait in the backlog
            }
            accept(channel);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            log.warn("accept_failed", "error", cause.getMessage());
            rest(NO_DESCRIPTOR);
        }

        private void rest(long pause) {
            if (listening != null && listening.config().isAutoRead()) {
                listening.config().setAutoRead(false);
                clock.after(pause, () -> listening.config().setAutoRead(!stopped));
            }
        }
    }

    /** Takes in a channel that was accepted, here or by something else on the same loop. */
    public void accept(Channel channel) {
        ClientChannelHandler caller = front.caller(this);
        Connection connection = table.admit(caller, sourceOf(channel.remoteAddress()), clock.nowMicros());
        if (connection == null) {
            refuse(channel);
            return;
        }
        caller.connection = connection;
        channel.config().setOption(ChannelOption.TCP_NODELAY, true);
        channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        channel.config().setWriteBufferWaterMark(MARKS);
        channel.config().setRecvByteBufAllocator(() -> reading);
        channel.pipeline().addLast(caller);
        scheduler.register(
                connection,
                () -> loop.register(channel).addListener(done -> {
                    if (!done.isSuccess()) {
                        table.closed(connection);
                        channel.unsafe().closeForcibly();
                    }
                }));
    }

    private void refuse(Channel channel) {
        Refusal refusal = table.limits().refusal();
        if (refusal == Refusal.ANSWER) {
            channel.pipeline().addLast(new ChannelInboundHandlerAdapter() {
                @Override
                public void channelActive(ChannelHandlerContext context) {
                    context.writeAndFlush(Unpooled.wrappedBuffer(front.refusal()))
                            .addListener(ChannelFutureListener.CLOSE);
                }
            });
            loop.register(channel);
            return;
        }
        if (refusal == Refusal.RESET) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        channel.unsafe().closeForcibly();
    }

    /** What tells sources apart: an IPv4 address, or the network part of an IPv6 address. */
    static long sourceOf(SocketAddress remote) {
        if (!(remote instanceof InetSocketAddress socket)) {
            return 0;
        }
        InetAddress address = socket.getAddress();
        ByteBuffer bytes = ByteBuffer.wrap(address.getAddress());
        return address instanceof Inet4Address ? 0xFFFF_FFFFL << 32 | bytes.getInt() & 0xFFFF_FFFFL : bytes.getLong();
    }

    /** A caller on a channel that something else opened: for rehearsals and tests. */
    public ClientChannelHandler callerOf(long address) {
        ClientChannelHandler caller = front.caller(this);
        caller.connection = table.admit(caller, address, clock.nowMicros());
        return caller;
    }

    // ---- what callers do ----

    void opened(ClientChannelHandler caller) {
        if (leaving) {
            caller.lastCall();
        }
    }

    void closed(ClientChannelHandler caller) {
        writabilityChanged.remove(caller);
        table.closed(caller.connection);
    }

    void recordRead(int bytes, int requests) {
        scheduler.order().recordRead(bytes, requests);
    }

    void read(ClientChannelHandler caller, boolean whole, int bytes) {
        table.read(caller.connection, clock.nowMicros(), whole, caller.open(), bytes);
    }

    void answered(ClientChannelHandler caller) {
        table.answered(caller.connection, clock.nowMicros(), caller.open());
    }

    void draining(ClientChannelHandler caller) {
        table.drain(caller.connection, clock.nowMicros());
    }

    EventLoopScheduler scheduler() {
        return scheduler;
    }

    void requestRejected() {
        scheduler.gate().rejected(clock.nowMicros());
    }

    EventLog log() {
        return log;
    }

    // ---- whose time is over ----

    /** Connections without an open request are closed after so many microseconds; 0 means never. */
    public void closeIdle(long after) {
        table.closeIdle(after);
    }

    /** One timer stands for all connections: it rings when the first limit ends. */
    private void arm() {
        long soonest = table == null ? Long.MAX_VALUE : table.soonest();
        if (soonest < armedFor) {
            armedFor = soonest;
            if (timer != null) {
                timer.cancel();
            }
            timer = clock.after(Math.max(0, soonest - clock.nowMicros()), () -> {
                timer = null;
                expire();
            });
        }
    }

    private void expire() {
        if (timer != null) {
            timer.cancel(); // set by what the last round brought about
            timer = null;
        }
        armedFor = Long.MAX_VALUE;
        int most = scheduler.limits().maxExpirations();
        if (table.expire(clock.nowMicros(), most) >= most && table.soonest() <= clock.nowMicros()) {
            armedFor = 0; // the rest follows in the next turn, behind what is owed to anybody
            scheduler.runAtEnd(this::expire);
        } else {
            arm();
        }
    }

    // ---- what waits to be written ----

    void writabilityChanged(ClientChannelHandler caller, boolean stalls) {
        if (!stalls) {
            writabilityChanged.remove(caller);
        } else if (writabilityChanged.add(caller) && !watching) {
            watching = true;
            clock.after(STALLED, this::closeStalled);
        }
    }

    /** Guards the heap against many callers that ask and do not read: the one furthest behind is closed. */
    private void closeStalled() {
        long waiting = writabilityChanged.stream()
                .mapToLong(ConnectionActions::waitingBytes)
                .sum();
        while (waiting > table.limits().mostWaiting()) {
            ClientChannelHandler worst = writabilityChanged.stream()
                    .max(Comparator.comparingLong(ConnectionActions::waitingBytes))
                    .orElseThrow();
            waiting -= worst.waitingBytes();
            writabilityChanged.remove(worst);
            table.closeStalled(worst.connection);
        }
        watching = !writabilityChanged.isEmpty();
        if (watching) {
            clock.after(STALLED, this::closeStalled);
        }
    }

    // ---- the server leaves ----

    /** Tells all callers that nothing new may come on what they hold open. */
    public void lastCall() {
        leaving = true;
        table.forEach(ConnectionActions::lastCall);
    }

    /**
     * Accepts nothing from now on. Whom the system has accepted already is taken in first: with the socket
     * their connections would be reset, and the requests that they have written with them. A handed-over
     * socket stays open until the process ends: the JDK takes the standard streams, and so the log, away with
     * the descriptor that it inherited; who waits there is the other process's to take.
     */
    public void stopListening() {
        if (stopped) {
            return;
        }
        stopped = true;
        if (listening != null && handedOver) {
            listening.config().setAutoRead(false);
        } else if (listening != null) { // where another listener could not be bound, this one never was
            try {
                scheduler.transport().acceptAll(listening);
            } catch (IOException e) {
                log.warn("accept_failed", "error", e.getMessage());
            }
            listening.close();
        }
    }

    /** Accepts no more, and ends every connection by a lingering close; {@link #isEmpty} tells when. */
    public void close() {
        stopListening();
        table.forEach(ConnectionActions::leave);
    }

    /** Whether no connection is left. */
    public boolean isEmpty() {
        return table.size() == 0;
    }

    /** Bytes that wait to be written to callers, all of them. */
    public long pendingBytes() {
        long[] sum = {0};
        table.forEach(caller -> sum[0] += caller.pendingBytes());
        return sum[0];
    }

    /** Ends what is left of the connections at once. */
    public void cut() {
        table.forEach(ConnectionActions::close);
    }
}

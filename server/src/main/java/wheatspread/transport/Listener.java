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
import wheatspread.connections.ConnectionLimits.Rejection;
import wheatspread.connections.ConnectionTable;
import wheatspread.core.Clock;
import wheatspread.logging.EventLog;

/**
 * A listening socket with the connections it accepted. Its {@link ConnectionTable} decides which ones are
 * admitted, evicted or past a time limit; this class carries that out on the sockets. It also bounds the
 * memory of unread answers, and notifies callers when the server drains.
 *
 * <p>Except for {@link #listen}, all methods run on the event loop. {@link #drainAll} drains the connections and
 * {@link #closeAll} closes those that are left.
 */
public final class Listener {
    private static final int WRITE_LOW_WATERMARK_BYTES = 64 * 1024;
    private static final int WRITE_HIGH_WATERMARK_BYTES = 128 * 1024;
    private static final WriteBufferWaterMark WRITE_WATERMARKS =
            new WriteBufferWaterMark(WRITE_LOW_WATERMARK_BYTES, WRITE_HIGH_WATERMARK_BYTES);
    /** How often unread answers are checked while any caller is above the high watermark. */
    private static final long STALLED_CHECK_INTERVAL_MICROS = 100_000;
    /** How long to stop accepting after an accept failed, as when no file descriptor is left. */
    private static final long ACCEPT_RETRY_DELAY_MICROS = 100_000;
    /** The size of one read; most requests take less. */
    private static final int READ_BYTES = 4 * 1024;

    private static final int ACCEPT_BACKLOG = 1_024;

    private final EventLoop loop;
    private final EventLoopScheduler scheduler;
    private final Clock clock;
    private final Front front;
    private final ConnectionTable table;
    private final EventLog log;
    /** Callers above the high watermark of unread answers. */
    private final Set<ClientChannelHandler> stalled = new LinkedHashSet<>();
    /** Shared by all connections, each of which has one read per iteration. */
    private final RecvByteBufAllocator.ExtendedHandle readHandle = (RecvByteBufAllocator.ExtendedHandle)
            new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(1).newHandle();

    private ServerChannel listening;
    /** An inherited socket on which nothing is accepted yet. */
    private ServerChannel inheritedSocket;

    private boolean inherited;
    private boolean stopped;
    private Clock.Timer expiryTimer;
    private long expiryTimerMicros = Long.MAX_VALUE;
    private boolean stalledCheckScheduled;
    private boolean draining;

    /** Creates a listener that accepts nothing yet. */
    public Listener(
            EventLoop loop,
            EventLoopScheduler scheduler,
            Clock clock,
            Front front,
            ConnectionLimits limits,
            EventLog log) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.clock = clock;
        this.front = front;
        this.log = log;
        table = new ConnectionTable(limits, clock.nowMicros(), this::startExpiryTimer);
    }

    /** The connections; to be used on the event loop only. */
    public ConnectionTable table() {
        return table;
    }

    /**
     * Binds the address and starts to accept; fails if it cannot be bound. Waits for the event loop, so it must
     * not be called on it. Returns the address that was bound.
     */
    public InetSocketAddress listen(InetSocketAddress address) {
        ChannelFuture binding = new Bootstrap()
                .group(loop)
                .channel(scheduler.transport().serverChannel())
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
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
     * Takes a listening socket that the process inherited as descriptor {@code fd}; accepts nothing until
     * {@link #acceptHeld}. Processes with the same socket share one accept queue, so one accepts what the
     * other leaves there. Returns the address.
     */
    public InetSocketAddress holdListeningSocket(int fd) {
        try {
            ServerChannel channel = scheduler.transport().adoptListeningSocket(fd);
            channel.pipeline().addLast(new Acceptor());
            inheritedSocket = channel;
            inherited = true;
            return (InetSocketAddress) channel.localAddress();
        } catch (IOException | RuntimeException e) { // Netty throws the system's errors, checked or not
            throw new IllegalStateException("cannot accept on descriptor " + fd + ": " + e.getMessage(), e);
        }
    }

    /** Starts to accept on the inherited socket. */
    public void acceptHeld() {
        listening = inheritedSocket;
        inheritedSocket = null;
        loop.register(listening).addListener(result -> {
            if (!result.isSuccess()) {
                log.error("accept_failed", "error", result.cause());
            }
        });
    }

    /** Handles the connections that the listening socket accepts. */
    private final class Acceptor extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            Channel channel = (Channel) message;
            long pauseMicros = table.pauseAfterAccept(clock.nowMicros());
            if (pauseMicros > 0) {
                pauseAccepting(pauseMicros); // further connections wait in the accept queue
            }
            accept(channel);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            log.warn("accept_failed", "error", cause.getMessage());
            pauseAccepting(ACCEPT_RETRY_DELAY_MICROS);
        }

        private void pauseAccepting(long pauseMicros) {
            if (listening != null && listening.config().isAutoRead()) {
                listening.config().setAutoRead(false);
                clock.schedule(pauseMicros, () -> listening.config().setAutoRead(!stopped));
            }
        }
    }

    /** Admits or rejects a channel that was accepted, here or by something else on the same event loop. */
    public void accept(Channel channel) {
        ClientChannelHandler caller = front.newHandler(this);
        Connection connection = table.admit(caller, sourceOf(channel.remoteAddress()), clock.nowMicros());
        if (connection == null) {
            reject(channel);
            return;
        }
        caller.attach(connection);
        channel.config().setOption(ChannelOption.TCP_NODELAY, true);
        channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        channel.config().setWriteBufferWaterMark(WRITE_WATERMARKS);
        channel.config().setRecvByteBufAllocator(() -> readHandle);
        channel.pipeline().addLast(caller);
        scheduler.register(
                connection,
                () -> loop.register(channel).addListener(result -> {
                    if (!result.isSuccess()) {
                        table.closed(connection);
                        channel.unsafe().closeForcibly();
                    }
                }));
    }

    private void reject(Channel channel) {
        Rejection refusal = table.limits().rejection();
        if (refusal == Rejection.ANSWER) {
            channel.pipeline().addLast(new ChannelInboundHandlerAdapter() {
                @Override
                public void channelActive(ChannelHandlerContext context) {
                    context.writeAndFlush(Unpooled.wrappedBuffer(front.rejectionBytes()))
                            .addListener(ChannelFutureListener.CLOSE);
                }
            });
            loop.register(channel);
            return;
        }
        if (refusal == Rejection.RESET) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        channel.unsafe().closeForcibly();
    }

    /** The number that identifies a source: its IPv4 address, or the network part of its IPv6 address. */
    static long sourceOf(SocketAddress remote) {
        if (!(remote instanceof InetSocketAddress socket)) {
            return 0;
        }
        InetAddress address = socket.getAddress();
        ByteBuffer bytes = ByteBuffer.wrap(address.getAddress());
        return address instanceof Inet4Address ? 0xFFFF_FFFFL << 32 | bytes.getInt() & 0xFFFF_FFFFL : bytes.getLong();
    }

    /** Creates the handler of a connection on a channel that the caller opens: for warm-up and tests. */
    public ClientChannelHandler newEmbeddedHandler(long sourceAddress) {
        ClientChannelHandler caller = front.newHandler(this);
        caller.attach(table.admit(caller, sourceAddress, clock.nowMicros()));
        return caller;
    }

    // ---- events of connections ----

    void opened(ClientChannelHandler caller) {
        if (draining) {
            caller.notifyDraining();
        }
    }

    void closed(ClientChannelHandler caller) {
        stalled.remove(caller);
        table.closed(caller.connection());
    }

    void recordRead(int bytes, int requests) {
        scheduler.readScheduler().recordRead(bytes, requests);
    }

    void read(ClientChannelHandler caller, boolean wholeMessages, int partialBytes) {
        table.read(caller.connection(), clock.nowMicros(), wholeMessages, caller.openRequests(), partialBytes);
    }

    void answered(ClientChannelHandler caller) {
        table.answered(caller.connection(), clock.nowMicros(), caller.openRequests());
    }

    void draining(ClientChannelHandler caller) {
        table.drain(caller.connection(), clock.nowMicros());
    }

    EventLoopScheduler scheduler() {
        return scheduler;
    }

    void requestRejected() {
        scheduler.burstLimiter().rejected(clock.nowMicros());
    }

    EventLog log() {
        return log;
    }

    // ---- time limits ----

    /** Closes connections that are idle for so many microseconds; 0 for the configured limit only. */
    public void closeIdle(long timeoutMicros) {
        table.limitIdleTime(timeoutMicros);
    }

    /** Starts the one timer for all connections, which expires when the first limit ends. */
    private void startExpiryTimer() {
        long nextExpiryMicros = table == null ? Long.MAX_VALUE : table.nextExpiryMicros();
        if (nextExpiryMicros < expiryTimerMicros) {
            expiryTimerMicros = nextExpiryMicros;
            if (expiryTimer != null) {
                expiryTimer.cancel();
            }
            expiryTimer = clock.schedule(Math.max(0, nextExpiryMicros - clock.nowMicros()), () -> {
                expiryTimer = null;
                expire();
            });
        }
    }

    private void expire() {
        if (expiryTimer != null) {
            expiryTimer.cancel(); // started while the last round expired connections
            expiryTimer = null;
        }
        expiryTimerMicros = Long.MAX_VALUE;
        int max = scheduler.budget().maxExpirations();
        if (table.expire(clock.nowMicros(), max) >= max && table.nextExpiryMicros() <= clock.nowMicros()) {
            expiryTimerMicros = 0; // the rest follows in the next iteration, after what callers wait for
            scheduler.runAtEnd(this::expire);
        } else {
            startExpiryTimer();
        }
    }

    // ---- unread answers ----

    void writabilityChanged(ClientChannelHandler caller, boolean isStalled) {
        if (!isStalled) {
            stalled.remove(caller);
        } else if (stalled.add(caller) && !stalledCheckScheduled) {
            stalledCheckScheduled = true;
            clock.schedule(STALLED_CHECK_INTERVAL_MICROS, this::closeStalled);
        }
    }

    /** Bounds the memory of unread answers by closing the callers with most of them. */
    private void closeStalled() {
        long unreadBytes = stalled.stream()
                .mapToLong(ConnectionActions::bytesUntilWritable)
                .sum();
        while (unreadBytes > table.limits().maxPendingWriteBytes()) {
            ClientChannelHandler worst = stalled.stream()
                    .max(Comparator.comparingLong(ConnectionActions::bytesUntilWritable))
                    .orElseThrow();
            unreadBytes -= worst.bytesUntilWritable();
            stalled.remove(worst);
            table.closeStalled(worst.connection());
        }
        stalledCheckScheduled = !stalled.isEmpty();
        if (stalledCheckScheduled) {
            clock.schedule(STALLED_CHECK_INTERVAL_MICROS, this::closeStalled);
        }
    }

    // ---- shutdown ----

    /** Notifies every caller, now or when it connects, that its connection is draining. */
    public void notifyDraining() {
        draining = true;
        table.forEach(ConnectionActions::notifyDraining);
    }

    /**
     * Stops accepting. Connections in the accept queue are accepted first: closing the socket would reset
     * them, and lose the requests that they carry. An inherited socket stays open until the process ends,
     * since the JDK closes the standard streams, and so the log, together with the descriptor it inherited;
     * connections in its queue are left to the other process.
     */
    public void stopListening() {
        if (stopped) {
            return;
        }
        stopped = true;
        if (listening != null && inherited) {
            listening.config().setAutoRead(false);
        } else if (listening != null) { // null if another listener failed to bind first
            try {
                scheduler.transport().acceptAll(listening);
            } catch (IOException e) {
                log.warn("accept_failed", "error", e.getMessage());
            }
            listening.close();
        }
    }

    /** Stops accepting and drains every connection; {@link #isEmpty} shows when that is done. */
    public void drainAll() {
        stopListening();
        table.forEach(ConnectionActions::drain);
    }

    /** Whether no connection is left. */
    public boolean isEmpty() {
        return table.size() == 0;
    }

    /** The bytes that wait to be written, over all connections. */
    public long pendingWriteBytes() {
        long[] totalBytes = {0};
        table.forEach(caller -> totalBytes[0] += caller.pendingWriteBytes());
        return totalBytes[0];
    }

    /** Closes every connection that is left at once. */
    public void closeAll() {
        table.forEach(ConnectionActions::close);
    }
}

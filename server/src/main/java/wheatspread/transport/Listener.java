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
import wheatspread.connections.Connection;
import wheatspread.connections.ConnectionActions;
import wheatspread.connections.ConnectionLimits;
import wheatspread.connections.ConnectionLimits.Rejection;
import wheatspread.connections.ConnectionTable;
import wheatspread.core.Clock;
import wheatspread.logging.EventLog;

/**
 * A listening socket and the connections it accepted. The {@link ConnectionTable} decides which connections are
 * admitted, evicted or past a time limit; this class performs these decisions on the sockets. It also notifies
 * clients when the server drains.
 *
 * <p>Except for {@link #listen}, all methods run on the event loop. {@link #drainAll} drains the connections and
 * {@link #closeAll} closes the remaining connections.
 */
public final class Listener {
    private static final int WRITE_LOW_WATERMARK_BYTES = 64 * 1024;
    private static final int WRITE_HIGH_WATERMARK_BYTES = 128 * 1024;
    private static final WriteBufferWaterMark WRITE_WATERMARKS =
            new WriteBufferWaterMark(WRITE_LOW_WATERMARK_BYTES, WRITE_HIGH_WATERMARK_BYTES);
    /** The pause after a failed accept, for example when the process has no free file descriptor. */
    private static final long ACCEPT_RETRY_DELAY_MICROS = 100_000;
    /** The buffer size of one read; most requests are smaller. */
    private static final int READ_BUFFER_BYTES = 4 * 1024;

    private static final int MAX_ACCEPT_BACKLOG_CONNECTIONS = 1_024;

    private final EventLoop loop;
    private final EventLoopScheduler scheduler;
    private final Clock clock;
    private final Front front;
    private final ConnectionTable table;
    private final EventLog log;
    private final UnreadAnswerLimit unreadAnswerLimit;
    /** The read allocator shared by all connections, each of which is read once per iteration. */
    private final RecvByteBufAllocator.ExtendedHandle readHandle =
            (RecvByteBufAllocator.ExtendedHandle) new FixedRecvByteBufAllocator(READ_BUFFER_BYTES)
                    .maxMessagesPerRead(1)
                    .newHandle();

    /** The socket that accepts connections; null before {@link #listen} or {@link #acceptOnInheritedSocket}. */
    private ServerChannel listeningSocket;
    /** An inherited socket that does not accept connections yet; null if there is none. */
    private ServerChannel inheritedSocket;

    private boolean inherited;
    private boolean stopped;
    private Clock.Timer expiryTimer;
    private long expiryTimerMicros = Long.MAX_VALUE;
    private boolean draining;

    /** Creates a listener without a listening socket. */
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
        unreadAnswerLimit = new UnreadAnswerLimit(table, clock);
    }

    /** Returns the table of the accepted connections. */
    public ConnectionTable table() {
        return table;
    }

    /**
     * Binds the address, starts to accept connections and returns the bound address. Throws an
     * IllegalStateException if the address cannot be bound. Blocks until the event loop has bound the address, so
     * it must not be called on the event loop.
     */
    public InetSocketAddress listen(InetSocketAddress address) {
        ChannelFuture binding = new Bootstrap()
                .group(loop)
                .channel(scheduler.transport().serverChannel())
                .option(ChannelOption.SO_BACKLOG, MAX_ACCEPT_BACKLOG_CONNECTIONS)
                .option(ChannelOption.SO_REUSEADDR, true)
                .handler(new Acceptor())
                .bind(address)
                .awaitUninterruptibly();
        if (!binding.isSuccess()) {
            throw new IllegalStateException(
                    "cannot listen on " + address + ": " + binding.cause().getMessage());
        }
        listeningSocket = (ServerChannel) binding.channel();
        return (InetSocketAddress) listeningSocket.localAddress();
    }

    /**
     * Takes over a listening socket that the process inherited as descriptor {@code fd} and returns its address.
     * No connection is accepted before {@link #acceptOnInheritedSocket}. Processes that share the socket also
     * share its accept queue, so each can accept connections that the other has not accepted.
     */
    public InetSocketAddress adoptInheritedSocket(int fd) {
        try {
            ServerChannel channel = scheduler.transport().adoptListeningSocket(fd);
            channel.pipeline().addLast(new Acceptor());
            inheritedSocket = channel;
            inherited = true;
            return (InetSocketAddress) channel.localAddress();
        } catch (IOException | RuntimeException e) { // Netty reports system errors by either
            throw new IllegalStateException("cannot accept on descriptor " + fd + ": " + e.getMessage(), e);
        }
    }

    /** Starts to accept connections on the socket taken over by {@link #adoptInheritedSocket}. */
    public void acceptOnInheritedSocket() {
        listeningSocket = inheritedSocket;
        inheritedSocket = null;
        loop.register(listeningSocket).addListener(result -> {
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
                pauseAccepting(pauseMicros); // meanwhile connections wait in the operating system's accept queue
            }
            if (stopped) {
                accept(channel); // the listening socket is being closed, and the connections are drained next
            } else {
                // another connection may be closed for this one, and the same poll may report input on it
                scheduler.runInIteration(() -> accept(channel));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            log.warn("accept_failed", "error", cause.getMessage());
            pauseAccepting(ACCEPT_RETRY_DELAY_MICROS);
        }

        private void pauseAccepting(long pauseMicros) {
            if (listeningSocket != null && listeningSocket.config().isAutoRead()) {
                listeningSocket.config().setAutoRead(false);
                clock.schedule(pauseMicros, () -> listeningSocket.config().setAutoRead(!stopped));
            }
        }
    }

    /** Admits or rejects an accepted channel, whether this listener or other code on its event loop accepted it. */
    public void accept(Channel channel) {
        ClientChannelHandler handler = front.newHandler(this);
        Connection connection = table.admit(handler, sourceOf(channel.remoteAddress()), clock.nowMicros());
        if (connection == null) {
            reject(channel);
            return;
        }
        handler.attach(connection);
        channel.config().setOption(ChannelOption.TCP_NODELAY, true);
        channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        channel.config().setWriteBufferWaterMark(WRITE_WATERMARKS);
        channel.config().setRecvByteBufAllocator(() -> readHandle);
        channel.pipeline().addLast(handler);
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
        Rejection rejection = table.limits().rejection();
        if (rejection == Rejection.ANSWER) {
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
        if (rejection == Rejection.RESET) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        channel.unsafe().closeForcibly();
    }

    /** Returns the number of a source: its IPv4 address or the network part of its IPv6 address; 0 for others. */
    static long sourceOf(SocketAddress remote) {
        if (!(remote instanceof InetSocketAddress socket)) {
            return 0;
        }
        InetAddress address = socket.getAddress();
        ByteBuffer bytes = ByteBuffer.wrap(address.getAddress());
        return address instanceof Inet4Address ? 0xFFFF_FFFFL << 32 | bytes.getInt() & 0xFFFF_FFFFL : bytes.getLong();
    }

    /** Admits a connection whose channel the method's caller creates, for warm-up and tests; returns its handler. */
    public ClientChannelHandler newEmbeddedHandler(long sourceAddress) {
        ClientChannelHandler handler = front.newHandler(this);
        handler.attach(table.admit(handler, sourceAddress, clock.nowMicros()));
        return handler;
    }

    // ---- connection events ----

    void opened(ClientChannelHandler handler) {
        if (draining) {
            handler.notifyDraining();
        }
    }

    void closed(ClientChannelHandler handler) {
        unreadAnswerLimit.remove(handler);
        table.closed(handler.connection());
    }

    void writabilityChanged(ClientChannelHandler handler, boolean stalled) {
        if (stalled) {
            unreadAnswerLimit.add(handler);
        } else {
            unreadAnswerLimit.remove(handler);
        }
    }

    void recordRead(int bytes, int requests) {
        scheduler.readScheduler().recordRead(bytes, requests);
    }

    void read(ClientChannelHandler handler, boolean wholeMessages, int partialBytes) {
        table.read(handler.connection(), clock.nowMicros(), wholeMessages, handler.unansweredRequests(), partialBytes);
    }

    void answered(ClientChannelHandler handler) {
        table.answered(handler.connection(), clock.nowMicros(), handler.unansweredRequests());
    }

    void draining(ClientChannelHandler handler) {
        table.drain(handler.connection(), clock.nowMicros());
        table.setOpenRequests(handler.connection(), clock.nowMicros(), handler.unansweredRequests());
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

    /** Limits the time that connections may be idle, see {@link ConnectionTable#limitIdleTime}. */
    public void limitIdleTime(long timeoutMicros) {
        table.limitIdleTime(timeoutMicros);
    }

    /** Sets the single timer of all connections to the end of the first time limit, unless the timer fires earlier. */
    private void startExpiryTimer() {
        long nextExpiryMicros = table == null ? Long.MAX_VALUE : table.nextExpiryMicros();
        if (nextExpiryMicros < expiryTimerMicros) {
            expiryTimerMicros = nextExpiryMicros;
            if (expiryTimer != null) {
                expiryTimer.cancel();
            }
            expiryTimer = clock.schedule(Math.max(0, nextExpiryMicros - clock.nowMicros()), () -> {
                expiryTimer = null;
                // if the loop is late, a request may have waited in its socket for longer than the time limit
                scheduler.runAfterNextPoll(this::expire);
            });
        }
    }

    private void expire() {
        if (expiryTimer != null) {
            expiryTimer.cancel(); // set while the previous call expired connections
            expiryTimer = null;
        }
        expiryTimerMicros = Long.MAX_VALUE;
        int maxChecks = scheduler.budget().maxExpirations();
        if (table.expire(clock.nowMicros(), maxChecks) >= maxChecks && table.nextExpiryMicros() <= clock.nowMicros()) {
            expiryTimerMicros = 0; // the next iteration expires the rest, after the work that clients wait for
            scheduler.runAtEnd(this::expire);
        } else {
            startExpiryTimer();
        }
    }

    // ---- shutdown ----

    /** Notifies every client that the server is draining; clients that connect later are notified on connecting. */
    public void notifyDraining() {
        draining = true;
        table.forEach(ConnectionActions::notifyDraining);
    }

    /**
     * Stops accepting connections. Connections in the accept queue are accepted first, because closing the
     * socket would reset them and lose their requests. An inherited socket stays open until the process ends,
     * because the JDK closes the standard streams, and with them the log, together with the inherited
     * descriptor; connections in its queue are left to the other process.
     */
    public void stopListening() {
        if (stopped) {
            return;
        }
        stopped = true;
        if (listeningSocket != null && inherited) {
            listeningSocket.config().setAutoRead(false);
        } else if (listeningSocket != null) { // null if another listener failed to bind before this one
            try {
                scheduler.transport().acceptAll(listeningSocket);
            } catch (IOException e) {
                log.warn("accept_failed", "error", e.getMessage());
            }
            listeningSocket.close();
        }
    }

    /** Stops accepting and drains every connection; {@link #isEmpty} returns true once all have closed. */
    public void drainAll() {
        stopListening();
        table.forEach(ConnectionActions::drain);
    }

    /** Returns whether the listener has no connection. */
    public boolean isEmpty() {
        return table.size() == 0;
    }

    /** Returns the bytes that wait to be written, summed over all connections. */
    public long pendingWriteBytes() {
        long[] totalBytes = {0};
        table.forEach(connection -> totalBytes[0] += connection.pendingWriteBytes());
        return totalBytes[0];
    }

    /** Closes every connection immediately, even if answers are pending. */
    public void closeAll() {
        table.forEach(ConnectionActions::close);
    }
}

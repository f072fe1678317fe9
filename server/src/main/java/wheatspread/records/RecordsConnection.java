package wheatspread.records;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wheatspread.admission.Outcome;
import wheatspread.core.Clock;
import wheatspread.logging.EventLog;

/**
 * One connection to the records service, with the calls on it. Calls that are added before the connection is
 * established are sent once it is. The connection drains after {@link #MAX_CALLS} calls, after a call without a reply
 * in time, or when {@link #drain} is called; a drained connection closes itself. Confined to the event loop.
 */
final class RecordsConnection extends SimpleChannelInboundHandler<ReplyDecoder.Reply> {
    /** A connection that takes longer to open counts as refused, since nothing has been sent on it. */
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    /** The connection drains after this number of calls, which bounds the set of jobs that it stores. */
    private static final int MAX_CALLS = 64;

    /** Tracks the connections that are open or being opened. */
    interface Pool {
        /** The connection accepts no more calls, and closes when its last pending call ends. */
        void draining(RecordsConnection connection);

        /** The connection has closed or is about to close. */
        void remove(RecordsConnection connection);

        boolean contains(RecordsConnection connection);

        boolean isDraining(RecordsConnection connection);
    }

    private final Pool pool;
    private final Clock clock;
    private final EventLog log;
    private final Map<String, PendingCall> pending = new LinkedHashMap<>();
    /**
     * The jobs that had a call on this connection. A job must not get a second call, since a late or duplicate
     * reply to the first call would be taken for the reply to the second.
     */
    private final Set<String> seenJobs = new HashSet<>();

    /** Null until the connection is established. */
    private Channel channel;

    private long usedAtMicros;

    RecordsConnection(Pool pool, Clock clock, EventLog log) {
        this.pool = pool;
        this.clock = clock;
        this.log = log;
        usedAtMicros = clock.nowMicros();
    }

    /** Starts to connect; if that fails, the calls on the connection end with {@link Outcome#CONNECT_ERROR}. */
    void connect(Bootstrap bootstrap, InetSocketAddress address) {
        bootstrap
                .clone()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new ReplyDecoder(), RecordsConnection.this);
                    }
                })
                .connect(address)
                .addListener(result -> {
                    if (!result.isSuccess()) {
                        failAll(Outcome.CONNECT_ERROR); // nothing was sent, so no call ran
                    }
                });
    }

    /** Returns the time since the connection was last used, in microseconds; 0 while a call is pending. */
    long idleMicros() {
        return pending.isEmpty() ? clock.nowMicros() - usedAtMicros : 0;
    }

    /** Returns whether the connection may carry a call of this job. */
    boolean accepts(String job) {
        return !seenJobs.contains(job);
    }

    int pendingCalls() {
        return pending.size();
    }

    /** Closes the connection immediately; the calls on it end with {@link Outcome#RESET}. */
    void close() {
        pool.remove(this);
        if (channel != null) {
            channel.close();
        }
    }

    /** Stops accepting calls, and closes the connection when its last pending call ends. */
    void drain() {
        pool.draining(this);
        closeIfDrained();
    }

    private void closeIfDrained() {
        if (pending.isEmpty() && pool.isDraining(this)) {
            close();
        }
    }

    void add(PendingCall call) {
        usedAtMicros = clock.nowMicros();
        seenJobs.add(call.job());
        pending.put(call.job(), call);
        if (channel != null) {
            send(call);
        }
        if (seenJobs.size() >= MAX_CALLS) {
            drain();
        }
    }

    private void send(PendingCall call) {
        byte[] body = call.body();
        byte[] line = (RecordsWireNames.CALL + ' ' + call.job() + ' ' + call.timeoutMs() + ' ' + body.length + "\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        ByteBuf out = channel.alloc().buffer(line.length + body.length + 2);
        out.writeBytes(line).writeBytes(body).writeByte('\r').writeByte('\n');
        channel.writeAndFlush(out, channel.voidPromise());
    }

    /** Cancels a call without a reply in time. The connection then drains, since it may deliver no further replies. */
    void cancel(PendingCall call) {
        if (pending.remove(call.job(), call)) {
            if (channel != null) {
                ByteBuf out = channel.alloc().buffer();
                out.writeCharSequence(RecordsWireNames.CANCEL + ' ' + call.job() + "\r\n", StandardCharsets.US_ASCII);
                channel.writeAndFlush(out, channel.voidPromise());
            }
            drain();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        if (pool.contains(this)) {
            pending.values().forEach(this::send);
        } else {
            channel.close(); // all calls on the connection were cancelled before it was established
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ReplyDecoder.Reply reply) {
        usedAtMicros = clock.nowMicros();
        PendingCall call = pending.remove(reply.callId());
        if (call != null) {
            call.listener().onCallEnded(reply.outcome(), reply.body());
            closeIfDrained();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        failAll(Outcome.RESET);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        log.warn("records_connection_failed", "error", cause);
        ctx.close();
    }

    private void failAll(Outcome outcome) {
        pool.remove(this);
        List<PendingCall> failed = new ArrayList<>(pending.values());
        pending.clear();
        failed.forEach(call -> call.listener().onCallEnded(outcome, null));
    }
}

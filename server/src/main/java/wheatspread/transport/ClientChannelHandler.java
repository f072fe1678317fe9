package wheatspread.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import wheatspread.connections.Connection;
import wheatspread.connections.ConnectionActions;
import wheatspread.core.Answer;
import wheatspread.core.Core;
import wheatspread.core.Reply;

/**
 * The one handler of a caller's channel. A front's own reads messages out of the bytes and holds what is not
 * whole in {@link #held}, which is there only as long as it is needed: thousands of connections rest, and
 * what each of them keeps is kept thousands of times.
 *
 * <p>It ends by a lingering close: what is owed is written out, the output is shut, and what still comes is
 * read and thrown away until the caller closes too. A close over unread bytes would have the system reset the
 * connection (RFC 1122, 4.2.2.13), and the reset takes along the answers that the caller has not read yet.
 */
public abstract class ClientChannelHandler extends ChannelInboundHandlerAdapter implements ConnectionActions {
    protected final Listener listener;
    protected ChannelHandlerContext ctx;
    /** The beginning of a message whose end is missing; null if there is none. */
    private ByteBuf held;

    Connection connection;
    private Phase phase = Phase.OPEN;
    /** The caller's side has ended its stream; it may still read. */
    private boolean inputShutdown;
    /** How the end goes on; null before the last answer. */
    private Lingering lingering;

    /** How far a connection has come towards its end. */
    private enum Phase {
        /** Requests are read. */
        OPEN,
        /** No more requests are read; those that are open are answered. */
        LEAVING,
        /** All is answered. It is written out, the output is shut, and what comes is thrown away. */
        LINGERING
    }

    /** What only a connection that ends has to remember. */
    private static final class Lingering {
        /** Bytes to throw away at the most; who sends more is cut off. */
        static final int MOST_DISCARDED = 256 * 1024;
        /** So often a caller that takes its answers slowly is given the time again. */
        static final int MOST_EXTENSIONS = 4;

        boolean outputShutdown;
        int discarded;
        int extensions;
        long pendingThen = Long.MAX_VALUE;
    }

    protected ClientChannelHandler(Listener listener) {
        this.listener = listener;
    }

    /**
     * Takes the messages out of what was read and returns how many were whole; what it leaves is held and
     * comes again with the next bytes in front of it.
     */
    protected abstract int read(ByteBuf bytes);

    /** How many requests wait for their answers. */
    protected abstract int open();

    /** The caller is gone, and nobody is left to hear an answer. */
    protected abstract void gone();

    /** About how many bytes the front itself holds of a message that is not whole. */
    protected int extraBufferedBytes() {
        return 0;
    }

    /** Whether the caller should be read from, as far as the front goes. */
    protected boolean acceptsMoreRequests() {
        return true;
    }

    /**
     * The caller has ended its stream with requests open. A front whose callers say in another way that they
     * have gone owes their answers all the same; elsewhere the end of the stream says it.
     */
    protected void clientInputEnded() {
        gone();
    }

    // ---- the channel ----

    @Override
    public final void handlerAdded(ChannelHandlerContext context) {
        ctx = context;
    }

    @Override
    public final void channelActive(ChannelHandlerContext context) {
        listener.opened(this);
    }

    @Override
    public final void channelInactive(ChannelHandlerContext context) {
        releaseHeld();
        listener.closed(this);
        gone();
    }

    @Override
    public final void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        try {
            take(bytes);
        } finally {
            bytes.release();
        }
    }

    @Override
    public final void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (!(event instanceof ChannelInputShutdownEvent) || inputShutdown) {
            return;
        }
        inputShutdown = true;
        if (phase == Phase.LINGERING) {
            closeIfDone();
        } else {
            if (open() > 0) {
                clientInputEnded();
            }
            leave();
        }
    }

    private void take(ByteBuf bytes) {
        if (phase != Phase.OPEN) {
            discard(bytes.readableBytes());
            return;
        }
        int size = bytes.readableBytes();
        ByteBuf all = bytes;
        if (held != null) {
            all = held.writeBytes(bytes);
        }
        int whole = read(all);
        listener.recordRead(size, whole);
        if (phase != Phase.OPEN || !all.isReadable()) {
            releaseHeld();
        } else if (held == null) {
            held = Unpooled.buffer(all.readableBytes()).writeBytes(all);
        } else {
            held.discardSomeReadBytes();
        }
        listener.read(this, whole > 0, holding());
        updateReading();
    }

    /** Looks again at what is held, where the front left whole messages there. */
    protected final void readBuffered() {
        if (held != null && phase == Phase.OPEN) {
            take(Unpooled.EMPTY_BUFFER);
        }
    }

    private void releaseHeld() {
        if (held != null) {
            held.release();
            held = null;
        }
    }

    private int holding() {
        return (held == null ? 0 : held.capacity()) + extraBufferedBytes();
    }

    /** Whether a message has begun whose end is missing. */
    protected final boolean midway() {
        return holding() > 0;
    }

    @Override
    public final void channelWritabilityChanged(ChannelHandlerContext context) {
        listener.writabilityChanged(this, !context.channel().isWritable());
        updateReading();
    }

    /** A caller that does not read its answers is not read from, or they would fill the memory. */
    protected final void updateReading() {
        if (phase != Phase.LINGERING) {
            boolean reads = phase == Phase.OPEN && ctx.channel().isWritable() && acceptsMoreRequests();
            if (reads != ctx.channel().config().isAutoRead()) {
                ctx.channel().config().setAutoRead(reads);
            }
            if (connection != null) {
                connection.setUnread(!reads && phase == Phase.OPEN);
            }
        }
        if (phase == Phase.LEAVING && open() == 0) {
            linger();
        }
    }

    // ---- the end ----

    private void linger() {
        phase = Phase.LINGERING;
        lingering = new Lingering();
        ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(this::writtenOut);
        if (!inputShutdown && ctx.channel().isOpen()) {
            ctx.channel().config().setAutoRead(true);
        }
    }

    /** All that was owed has gone to the system, or cannot. */
    private void writtenOut(Future<?> done) {
        if (!done.isSuccess() || !(ctx.channel() instanceof DuplexChannel channel)) {
            ctx.close();
            return;
        }
        channel.shutdownOutput();
        lingering.outputShutdown = true;
        closeIfDone();
    }

    private void closeIfDone() {
        if (inputShutdown && lingering.outputShutdown) {
            ctx.close();
        }
    }

    private void discard(int bytes) {
        listener.recordRead(bytes, 0);
        if (lingering != null) {
            lingering.discarded += bytes;
            if (lingering.discarded > Lingering.MOST_DISCARDED) {
                ctx.close();
            }
        }
    }

    @Override
    public final boolean advances() {
        long pending = pendingBytes();
        boolean less =
                pending > 0 && pending < lingering.pendingThen && lingering.extensions++ < Lingering.MOST_EXTENSIONS;
        lingering.pendingThen = pending;
        return less;
    }

    @Override
    public final long pendingBytes() {
        ChannelOutboundBuffer out = ctx.channel().unsafe().outboundBuffer();
        return out == null ? 0 : out.totalPendingWriteBytes();
    }

    @Override
    public final void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            listener.log().warn("caller_connection_failed", "error", cause);
        }
        if (cause instanceof IOException || phase != Phase.OPEN) {
            context.close();
        } else {
            leave(); // a fault in one message must not take along the answers to others
        }
    }

    // ---- what the table decides ----

    @Override
    public final void leave() {
        if (phase == Phase.OPEN) {
            phase = Phase.LEAVING;
            releaseHeld();
            listener.draining(this);
            updateReading();
        }
    }

    protected final boolean isDraining() {
        return phase != Phase.OPEN;
    }

    @Override
    public final long waitingBytes() {
        return ctx.channel().bytesBeforeWritable();
    }

    @Override
    public final void close() {
        ctx.close();
    }

    /**
     * Whether a request that was just read may not go on to the core, since it is of a crowd that wakes at
     * once. Then it has been answered, with a time to come back.
     */
    protected final boolean rejectedByBurstLimiter(Core core, int kind, Reply reply) {
        EventLoopScheduler turns = listener.scheduler();
        if (turns.tryAdmit()) {
            return false;
        }
        connection.setCountsAsIdle(true);
        core.turnAway(kind, reply, turns.gate().retryAfterMicros(core.mostStayAway()));
        return true;
    }

    /** Whether a request that goes on was let in as a sleeper's; {@link #requestEnded} has to be told of it. */
    protected final boolean isBurstAdmission() {
        return listener.scheduler().isReadingIdle();
    }

    /** Tells what became of a request that went on. */
    protected final void requestEnded(boolean ofCrowd, Answer.Kind kind) {
        if (ofCrowd) {
            listener.scheduler().gate().completed(kind == Answer.Kind.SERVED);
        }
        if (kind == Answer.Kind.REJECTED) {
            listener.requestRejected();
        }
    }

    /** An answer goes out. */
    protected final void write(ByteBuf bytes) {
        ctx.writeAndFlush(bytes, ctx.voidPromise());
    }

    /** An answer went out, so that less is open. */
    protected final void answered() {
        listener.answered(this);
        updateReading();
    }
}

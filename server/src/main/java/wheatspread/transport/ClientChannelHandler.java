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
 * The only handler of a caller's channel. A protocol's subclass reads messages out of the bytes; the bytes of
 * a partial message are buffered here, and only as long as there is one, since thousands of connections may
 * be idle.
 *
 * <p>A connection ends by a lingering close: the pending answers are written, the output is shut, and what
 * still arrives is read and discarded until the caller closes too. A close over unread bytes would reset the
 * connection (RFC 1122, 4.2.2.13), and a reset destroys answers that the caller has not read yet.
 *
 * <p>Used on the event loop only. The {@link Listener} registers the channel; the channel's own close, whoever
 * causes it, releases the buffer.
 */
public abstract class ClientChannelHandler extends ChannelInboundHandlerAdapter implements ConnectionActions {
    protected final Listener listener;
    protected ChannelHandlerContext ctx;
    /** The beginning of a partial message; null if there is none. */
    private ByteBuf buffered;

    private Connection connection;
    private Phase phase = Phase.OPEN;
    /** The caller has shut its output; it may still read. */
    private boolean inputShutdown;
    /** The progress of the lingering close; null before it begins. */
    private LingeringClose lingering;

    /** How far a connection has come towards its end. */
    private enum Phase {
        /** Requests are read. */
        OPEN,
        /** No more requests are read; the open ones are answered. */
        DRAINING,
        /** Everything is answered: the answers are written, the output is shut, and input is discarded. */
        LINGERING
    }

    protected ClientChannelHandler(Listener listener) {
        this.listener = listener;
    }

    final Connection connection() {
        return connection;
    }

    /** Attaches the connection that the table admitted; before the channel is registered. */
    final void attach(Connection admitted) {
        connection = admitted;
    }

    /**
     * Reads the whole messages and returns their number. Bytes that it leaves are buffered and come again in
     * front of the next ones.
     */
    protected abstract int readMessages(ByteBuf bytes);

    /** How many requests wait for their answers. */
    protected abstract int openRequests();

    /** The caller has disconnected, so nobody is left to receive an answer. */
    protected abstract void clientDisconnected();

    /** About how many bytes of a partial message the protocol itself buffers. */
    protected int extraBufferedBytes() {
        return 0;
    }

    /** Whether the protocol takes more requests now; the channel is not read while it does not. */
    protected boolean acceptsMoreRequests() {
        return true;
    }

    /**
     * The caller has shut its output while requests are open. By default that counts as a disconnect; a
     * protocol whose callers cancel requests explicitly still answers them.
     */
    protected void clientInputEnded() {
        clientDisconnected();
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
        releaseBuffer();
        listener.closed(this);
        clientDisconnected();
    }

    @Override
    public final void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        try {
            readBytes(bytes);
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
            if (openRequests() > 0) {
                clientInputEnded();
            }
            drain();
        }
    }

    private void readBytes(ByteBuf bytes) {
        if (phase != Phase.OPEN) {
            discard(bytes.readableBytes());
            return;
        }
        int size = bytes.readableBytes();
        ByteBuf all = bytes;
        if (buffered != null) {
            all = buffered.writeBytes(bytes);
        }
        int messages = readMessages(all);
        listener.recordRead(size, messages);
        if (phase != Phase.OPEN || !all.isReadable()) {
            releaseBuffer();
        } else if (buffered == null) {
            buffered = Unpooled.buffer(all.readableBytes()).writeBytes(all);
        } else {
            buffered.discardSomeReadBytes();
        }
        listener.read(this, messages > 0, partialBytes());
        updateReading();
    }

    /** Reads the buffer again, where the protocol left whole messages in it. */
    protected final void readBuffered() {
        if (buffered != null && phase == Phase.OPEN) {
            readBytes(Unpooled.EMPTY_BUFFER);
        }
    }

    private void releaseBuffer() {
        if (buffered != null) {
            buffered.release();
            buffered = null;
        }
    }

    private int partialBytes() {
        return (buffered == null ? 0 : buffered.capacity()) + extraBufferedBytes();
    }

    /** Whether a part of a message has been received. */
    protected final boolean hasPartialMessage() {
        return partialBytes() > 0;
    }

    @Override
    public final void channelWritabilityChanged(ChannelHandlerContext context) {
        listener.writabilityChanged(this, !context.channel().isWritable());
        updateReading();
    }

    /** Pauses reads from a caller that does not read its answers, since they would fill the memory. */
    protected final void updateReading() {
        if (phase != Phase.LINGERING) {
            boolean reading = phase == Phase.OPEN && ctx.channel().isWritable() && acceptsMoreRequests();
            if (reading != ctx.channel().config().isAutoRead()) {
                ctx.channel().config().setAutoRead(reading);
            }
            if (connection != null) {
                connection.setUnread(!reading && phase == Phase.OPEN);
            }
        }
        if (phase == Phase.DRAINING && openRequests() == 0) {
            linger();
        }
    }

    // ---- the end ----

    private void linger() {
        phase = Phase.LINGERING;
        lingering = new LingeringClose();
        ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(this::allWritten);
        if (!inputShutdown && ctx.channel().isOpen()) {
            ctx.channel().config().setAutoRead(true);
        }
    }

    /** Every answer has been handed to the system, or cannot be. */
    private void allWritten(Future<?> result) {
        if (!result.isSuccess() || !(ctx.channel() instanceof DuplexChannel channel)) {
            ctx.close();
            return;
        }
        channel.shutdownOutput();
        lingering.outputShutDown();
        closeIfDone();
    }

    private void closeIfDone() {
        if (inputShutdown && lingering.isOutputShutDown()) {
            ctx.close();
        }
    }

    private void discard(int bytes) {
        listener.recordRead(bytes, 0);
        if (lingering != null && !lingering.mayDiscard(bytes)) {
            ctx.close();
        }
    }

    @Override
    public final boolean madeWriteProgress() {
        return lingering.madeProgress(pendingWriteBytes());
    }

    @Override
    public final long pendingWriteBytes() {
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
            drain(); // a fault in one message must not lose the answers to others
        }
    }

    // ---- decisions of the connection table ----

    @Override
    public final void drain() {
        if (phase == Phase.OPEN) {
            phase = Phase.DRAINING;
            releaseBuffer();
            listener.draining(this);
            updateReading();
        }
    }

    protected final boolean isDraining() {
        return phase != Phase.OPEN;
    }

    @Override
    public final long bytesUntilWritable() {
        return ctx.channel().bytesBeforeWritable();
    }

    @Override
    public final void close() {
        ctx.close();
    }

    /**
     * Returns whether the burst limiter rejects a request that was just read, since it is part of a reconnect
     * burst. A rejected request has been answered, with a time to retry after.
     */
    protected final boolean rejectedByBurstLimiter(Core core, int requestClass, Reply reply) {
        EventLoopScheduler scheduler = listener.scheduler();
        if (scheduler.tryAdmit()) {
            return false;
        }
        connection.setCountsAsIdle(true);
        core.reject(requestClass, reply, scheduler.burstLimiter().retryAfterMicros(core.maxRetryAfterMicros()));
        return true;
    }

    /** Whether the burst limiter counts the request being read; {@link #requestEnded} has to get that back. */
    protected final boolean isBurstAdmission() {
        return listener.scheduler().isReadingIdle();
    }

    /** A request that the burst limiter did not reject has ended. */
    protected final void requestEnded(boolean burstAdmission, Answer.Kind kind) {
        if (burstAdmission) {
            listener.scheduler().burstLimiter().completed(kind == Answer.Kind.SERVED);
        }
        if (kind == Answer.Kind.REJECTED) {
            listener.requestRejected();
        }
    }

    /** Writes an answer. */
    protected final void write(ByteBuf bytes) {
        ctx.writeAndFlush(bytes, ctx.voidPromise());
    }

    /** An answer was written, so fewer requests are open. */
    protected final void answerWritten() {
        listener.answered(this);
        updateReading();
    }
}

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
import wheatspread.scheduling.ReadBudget;

/**
 * The only handler of a client's channel. A protocol's subclass reads messages from the bytes received. This
 * class buffers the bytes of a partial message, and holds a buffer only while there is a partial message,
 * because thousands of connections may be idle.
 *
 * <p>A connection ends by a lingering close: the pending answers are written, the output is shut, and bytes
 * received after that are read and discarded until the client closes. A close while received bytes are unread
 * would reset the connection (RFC 1122, 4.2.2.13), and a reset destroys answers that the client has not read
 * yet.
 *
 * <p>Used on the event loop only. The {@link Listener} registers the channel. The buffer is released when the
 * channel becomes inactive, whichever side closed the channel.
 */
public abstract class ClientChannelHandler extends ChannelInboundHandlerAdapter implements ConnectionActions {
    protected final Listener listener;
    protected ChannelHandlerContext ctx;
    /** The received part of a partial message; null if there is none. */
    private ByteBuf buffered;

    private Connection connection;
    private ConnectionPhase phase = ConnectionPhase.OPEN;
    /** Whether reading is paused until the next answer, because all partial messages together take too much memory. */
    private boolean pausedUntilAnswer;
    /** Whether the client has shut its output; the client may still read answers. */
    private boolean inputShutdown;
    /** The state of the lingering close; null before it begins. */
    private LingeringClose lingeringClose;
    /** Whether the last read left whole messages in the buffer; if so, they are read before the socket. */
    private boolean hasBufferedMessages;
    /** Reads the messages left in the buffer; null if no read has left any. */
    private BufferedRead bufferedRead;

    /** Whether messages are being read; if so, answers are flushed together afterwards. */
    private boolean readingMessages;

    protected ClientChannelHandler(Listener listener) {
        this.listener = listener;
    }

    final Connection connection() {
        return connection;
    }

    /** Sets the connection of this channel in the connection table. Must be called before the channel is registered. */
    final void attach(Connection admittedConnection) {
        connection = admittedConnection;
    }

    /**
     * Reads the whole messages in {@code bytes} and returns their number. Unread bytes are buffered and passed
     * again at the next call, in front of the bytes received since.
     */
    protected abstract int readMessages(ByteBuf bytes);

    /** Returns the number of requests that wait for their answers. */
    protected abstract int openRequests();

    /** Cancels the open requests, because the client has disconnected and can receive no answer. */
    protected abstract void clientDisconnected();

    /** Returns whether the protocol accepts more requests now; if it does not, the channel is not read. */
    protected boolean acceptsMoreRequests() {
        return true;
    }

    /**
     * Called when the client shuts its output while requests are open. The default treats this as a disconnect.
     * If the clients of a protocol cancel requests by a message, its subclass overrides this method, so that the
     * requests are answered.
     */
    protected void clientOutputShutDown() {
        clientDisconnected();
    }

    // ---- channel events ----

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
            if (phase == ConnectionPhase.OPEN) {
                processMessages(bytes);
            } else {
                discard(bytes.readableBytes());
            }
        } finally {
            bytes.release();
        }
    }

    @Override
    public final void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent && !inputShutdown) {
            inputShutdown = true;
            handleInputShutdown();
        }
    }

    /** Handles the end of the client's stream, once the messages that were received before it are read. */
    private void handleInputShutdown() {
        if (phase == ConnectionPhase.LINGERING) {
            closeIfDone();
        } else if (!hasBufferedMessages) {
            if (openRequests() > 0) {
                clientOutputShutDown();
            }
            drain();
        }
    }

    /** Processes the messages in the buffer and the bytes received after it. */
    private void processMessages(ByteBuf received) {
        int newBytes = received.readableBytes();
        ByteBuf bytes = buffered == null ? received : buffered.writeBytes(received);
        int messages = readWithinBudget(bytes);
        listener.recordRead(newBytes, messages);
        if (!bytes.isReadable() || phase != ConnectionPhase.OPEN && !hasBufferedMessages) {
            releaseBuffer();
        } else if (buffered == null) {
            buffered = Unpooled.buffer(bytes.readableBytes()).writeBytes(bytes);
        } else {
            buffered.discardSomeReadBytes();
        }
        listener.read(this, messages > 0, partialBytes());
        updateReading();
        if (inputShutdown && phase == ConnectionPhase.OPEN) {
            handleInputShutdown();
        }
    }

    private int readWithinBudget(ByteBuf bytes) {
        ReadBudget budget = readBudget();
        budget.beginRead();
        readingMessages = true;
        int messages = 0;
        try {
            messages = readMessages(bytes);
        } catch (RuntimeException | StackOverflowError e) {
            listener.log().warn("caller_connection_failed", "error", e);
            bytes.skipBytes(bytes.readableBytes());
            drain(); // an exception at one message must not lose the answers to earlier requests
        } finally {
            readingMessages = false;
            ctx.flush();
        }
        hasBufferedMessages = bytes.isReadable() && (budget.isExhausted() || !acceptsMoreRequests());
        if (hasBufferedMessages && budget.isExhausted()) {
            budget.countExhaustedRead();
        }
        return messages;
    }

    /** Returns the budget of the read in progress. */
    final ReadBudget readBudget() {
        return listener.scheduler().readScheduler().readBudget();
    }

    /** Reads the whole messages that the last read left in the buffer. */
    private void readBuffered() {
        if (buffered != null && canReadBuffered()) {
            connection.setCountsAsIdle(false);
            processMessages(Unpooled.EMPTY_BUFFER);
        }
    }

    /** Returns whether messages may be read from the buffer; a draining connection waits only for open requests. */
    private boolean canReadBuffered() {
        return phase == ConnectionPhase.DRAINING ? acceptsMoreRequests() : canRead();
    }

    private void scheduleBufferedRead() {
        if (bufferedRead == null) {
            bufferedRead = new BufferedRead(connection, listener.scheduler(), this::readBuffered);
        }
        bufferedRead.schedule();
    }

    private void releaseBuffer() {
        hasBufferedMessages = false;
        if (buffered != null) {
            buffered.release();
            buffered = null;
        }
    }

    /** Returns the size of the buffer that a partial message takes; 0 if the partial message will be dropped. */
    private int partialBytes() {
        return buffered == null || isDraining() ? 0 : buffered.capacity();
    }

    /** Returns the number of open requests; received messages that a draining connection processes count as one. */
    final int unansweredRequests() {
        return openRequests() + (isDraining() && hasBufferedMessages ? 1 : 0);
    }

    /** Returns whether a part of a message has been received. */
    protected final boolean hasPartialMessage() {
        return partialBytes() > 0;
    }

    /** Returns whether input is known to wait in the socket, so that it will be read. */
    protected final boolean hasUnreadInput() {
        return connection != null && connection.isUnread();
    }

    /**
     * Runs a task after an iteration of the event loop that begins after this call has polled the sockets and read from
     * clients, unless the channel is closed by then.
     */
    protected final void runAfterNextReads(Runnable task) {
        listener.scheduler().runAfterNextPoll(() -> {
            if (ctx.channel().isOpen()) {
                task.run();
            }
        });
    }

    @Override
    public final void channelWritabilityChanged(ChannelHandlerContext context) {
        listener.writabilityChanged(this, !context.channel().isWritable());
        updateReading();
    }

    /**
     * Pauses reads from a client while the client does not read its answers; otherwise the pending answers would
     * take up ever more memory. Starts the lingering close of a draining connection once no request is open.
     */
    protected final void updateReading() {
        if (phase != ConnectionPhase.LINGERING) {
            boolean reading = canRead() && !hasBufferedMessages && !inputShutdown;
            if (hasBufferedMessages && canReadBuffered()) {
                scheduleBufferedRead();
            }
            if (reading != ctx.channel().config().isAutoRead()) {
                ctx.channel().config().setAutoRead(reading);
            }
            if (connection != null) {
                connection.setUnread(!reading && phase == ConnectionPhase.OPEN);
            }
        }
        if (phase == ConnectionPhase.DRAINING && unansweredRequests() == 0) {
            startLingering();
        }
    }

    private boolean canRead() {
        return phase == ConnectionPhase.OPEN
                && !pausedUntilAnswer
                && ctx.channel().isWritable()
                && acceptsMoreRequests();
    }

    // ---- lingering close ----

    private void startLingering() {
        phase = ConnectionPhase.LINGERING;
        lingeringClose = new LingeringClose();
        ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(this::handleAnswersFlushed);
        if (!inputShutdown && ctx.channel().isOpen()) {
            ctx.channel().config().setAutoRead(true);
        }
    }

    /**
     * Shuts the output once the operating system has taken every answer. Closes the channel if a write failed or
     * the channel cannot be shut in one direction only.
     */
    private void handleAnswersFlushed(Future<?> result) {
        if (!result.isSuccess() || !(ctx.channel() instanceof DuplexChannel channel)) {
            ctx.close();
            return;
        }
        channel.shutdownOutput();
        lingeringClose.markOutputShutDown();
        closeIfDone();
    }

    private void closeIfDone() {
        if (inputShutdown && lingeringClose.isOutputShutDown()) {
            ctx.close();
        }
    }

    private void discard(int bytes) {
        listener.recordRead(bytes, 0);
        if (lingeringClose != null && !lingeringClose.countDiscarded(bytes)) {
            ctx.close();
        }
    }

    @Override
    public final boolean madeWriteProgress() {
        return lingeringClose.checkProgress(pendingWriteBytes());
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
        if (cause instanceof IOException || phase != ConnectionPhase.OPEN) {
            context.close();
        } else {
            drain();
        }
    }

    // ---- ConnectionActions, called by the connection table ----

    @Override
    public final void drain() {
        if (phase == ConnectionPhase.OPEN) {
            phase = ConnectionPhase.DRAINING;
            if (!hasBufferedMessages && !readingMessages) {
                releaseBuffer(); // otherwise after the read
            }
            listener.draining(this);
            updateReading();
        }
    }

    protected final boolean isDraining() {
        return phase != ConnectionPhase.OPEN;
    }

    @Override
    public final void pauseReadingUntilAnswer() {
        pausedUntilAnswer = true;
        updateReading();
    }

    @Override
    public final long bytesUntilWritable() {
        return ctx.channel().bytesBeforeWritable();
    }

    @Override
    public final void close() {
        ctx.close();
    }

    /** Writes bytes to the client, and flushes them once no messages are being read; takes ownership of the buffer. */
    protected final void write(ByteBuf bytes) {
        ctx.write(bytes, ctx.voidPromise());
        flushUnlessReading();
    }

    /** Flushes the answers written so far, unless messages are being read, after which they are flushed together. */
    protected final void flushUnlessReading() {
        if (!readingMessages) {
            ctx.flush();
        }
    }

    /** Updates the connection's state after an answer was written and the number of open requests changed. */
    protected final void answerWritten() {
        pausedUntilAnswer = false;
        listener.answered(this);
        updateReading();
    }
}

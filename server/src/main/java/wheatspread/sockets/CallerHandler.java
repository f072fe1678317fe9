package wheatspread.sockets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import wheatspread.connections.Caller;
import wheatspread.connections.Connection;
import wheatspread.core.Answer;
import wheatspread.core.Core;
import wheatspread.core.Reply;

/**
 * The one handler of a caller's channel. A front's own reads messages out of the bytes and holds what is not
 * whole in {@link #held}, which is there only as long as it is needed: thousands of connections rest, and
 * what each of them keeps is kept thousands of times.
 */
public abstract class CallerHandler extends ChannelInboundHandlerAdapter implements Caller {
    protected final Listener listener;
    protected ChannelHandlerContext ctx;
    /** The beginning of a message whose end is missing; null if there is none. */
    private ByteBuf held;
    Connection connection;
    private boolean leaving;

    protected CallerHandler(Listener listener) {
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
    protected int alsoHeld() {
        return 0;
    }

    /** Whether the caller should be read from, as far as the front goes. */
    protected boolean takesMore() {
        return true;
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
        drop();
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

    private void take(ByteBuf bytes) {
        if (leaving) {
            return;
        }
        int size = bytes.readableBytes();
        ByteBuf all = bytes;
        if (held != null) {
            all = held.writeBytes(bytes);
        }
        int whole = read(all);
        listener.spent(size, whole);
        if (leaving || !all.isReadable()) {
            drop();
        } else if (held == null) {
            held = Unpooled.buffer(all.readableBytes()).writeBytes(all);
        } else {
            held.discardSomeReadBytes();
        }
        listener.read(this, whole > 0, holding());
        settle();
    }

    /** Looks again at what is held, where the front left whole messages there. */
    protected final void readHeld() {
        if (held != null && !leaving) {
            take(Unpooled.EMPTY_BUFFER);
        }
    }

    private void drop() {
        if (held != null) {
            held.release();
            held = null;
        }
    }

    private int holding() {
        return (held == null ? 0 : held.capacity()) + alsoHeld();
    }

    /** Whether a message has begun whose end is missing. */
    protected final boolean midway() {
        return holding() > 0;
    }

    @Override
    public final void channelWritabilityChanged(ChannelHandlerContext context) {
        listener.stalled(this, !context.channel().isWritable());
        settle();
    }

    /** A caller that does not read its answers is not read from, or they would fill the memory. */
    protected final void settle() {
        boolean reads = !leaving && ctx.channel().isWritable() && takesMore();
        if (reads != ctx.channel().config().isAutoRead()) {
            ctx.channel().config().setAutoRead(reads);
        }
        if (connection != null) {
            connection.unread(!reads && !leaving);
        }
        if (leaving && open() == 0) {
            ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public final void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            listener.log().warn("caller_connection_failed", "error", cause);
        }
        context.close();
    }

    // ---- what the table decides ----

    @Override
    public final void leave() {
        if (!leaving) {
            leaving = true;
            drop();
            listener.left(this);
            settle();
        }
    }

    protected final boolean leaving() {
        return leaving;
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
    protected final boolean turnedAway(Core core, int kind, Reply reply) {
        Turns turns = listener.turns();
        if (turns.admits()) {
            return false;
        }
        connection.sleepsOn(true);
        core.turnAway(kind, reply, turns.gate().later(core.mostStayAway()));
        return true;
    }

    /** Whether a request that goes on was let in as a sleeper's; {@link #over} has to be told of it. */
    protected final boolean ofCrowd() {
        return listener.turns().isSleeper();
    }

    /** Tells what became of a request that went on. */
    protected final void over(boolean ofCrowd, Answer.Kind kind) {
        if (ofCrowd) {
            listener.turns().gate().ended(kind == Answer.Kind.SERVED);
        }
        if (kind == Answer.Kind.REFUSED) {
            listener.refused();
        }
    }

    /** An answer goes out. */
    protected final void write(ByteBuf bytes) {
        ctx.writeAndFlush(bytes, ctx.voidPromise());
    }

    /** An answer went out, so that less is open. */
    protected final void answered() {
        listener.answered(this);
        settle();
    }
}

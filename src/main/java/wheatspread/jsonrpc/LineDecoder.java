package wheatspread.jsonrpc;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.charset.StandardCharsets;

/** Cuts lines; one that is too long is reported in its place and skipped, those behind it are read. */
final class LineDecoder extends LineBasedFrameDecoder {
    /** Stands for a line that was skipped. */
    static final Object TOO_LONG = new Object();

    LineDecoder(int longest) {
        super(longest, true, true);
    }

    @Override
    protected Object decode(ChannelHandlerContext ctx, ByteBuf in) throws Exception {
        try {
            ByteBuf line = (ByteBuf) super.decode(ctx, in);
            if (line == null) {
                return null;
            }
            try {
                return line.toString(StandardCharsets.UTF_8);
            } finally {
                line.release();
            }
        } catch (TooLongFrameException e) {
            return TOO_LONG;
        }
    }
}

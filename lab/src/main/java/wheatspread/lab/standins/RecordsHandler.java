package wheatspread.lab.standins;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** A connection of the records service, which answers every call after a time. */
public final class RecordsHandler extends ByteToMessageDecoder {
    private final long callMicros;

    public RecordsHandler(long callMicros) {
        this.callMicros = callMicros;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        int end = in.bytesBefore((byte) '\n');
        if (end < 0) {
            return;
        }
        String[] words = in.toString(in.readerIndex(), end - 1, StandardCharsets.US_ASCII)
                .split(" ");
        if (words[0].equals("UNOP")) {
            in.skipBytes(end + 1);
            return;
        }
        int body = Integer.parseInt(words[3]);
        if (in.readableBytes() < end + 1 + body + 2) {
            return;
        }
        in.skipBytes(end + 1 + body + 2);
        StandInServices.after(ctx, callMicros, () -> ctx.writeAndFlush(words[1] + " DONE 5\r\nreply\r\n"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close(); // a server that was ended outright resets its connections
    }
}

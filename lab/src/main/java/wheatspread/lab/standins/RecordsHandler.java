package wheatspread.lab.standins;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Simulates the records service on one connection: answers every call after a fixed time. */
public final class RecordsHandler extends ByteToMessageDecoder {
    private final long callMicros;

    public RecordsHandler(long callMicros) {
        this.callMicros = callMicros;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        int lineEnd = in.bytesBefore((byte) '\n');
        if (lineEnd < 0) {
            return;
        }
        String[] words = in.toString(in.readerIndex(), lineEnd - 1, StandardCharsets.US_ASCII)
                .split(" ");
        if (words[0].equals("UNOP")) {
            in.skipBytes(lineEnd + 1);
            return;
        }
        int bodyBytes = Integer.parseInt(words[3]);
        if (in.readableBytes() < lineEnd + 1 + bodyBytes + 2) {
            return;
        }
        in.skipBytes(lineEnd + 1 + bodyBytes + 2);
        StandInServices.scheduleAfter(ctx, callMicros, () -> ctx.writeAndFlush(words[1] + " DONE 5\r\nreply\r\n"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close(); // a killed server resets its connections
    }
}

package wheatspread.uwsgi;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.EncoderException;
import java.nio.charset.StandardCharsets;

/** Encodes uwsgi packets. The size of the vars is between the two modifiers; sizes are little-endian. */
public final class UwsgiEncoder {
    private UwsgiEncoder() {}

    /** Writes a packet; throws an EncoderException if its vars exceed {@value UwsgiPacket#MAX_VARS_BYTES} bytes. */
    public static void write(UwsgiPacket packet, ByteBuf out) {
        int start = out.writerIndex();
        out.writeByte(packet.modifier1()).writeShortLE(0).writeByte(packet.modifier2());
        packet.vars().forEach((name, value) -> {
            writeText(name, out);
            writeText(value, out);
        });
        int varsBytes = out.writerIndex() - start - UwsgiPacket.HEADER_BYTES;
        if (varsBytes > UwsgiPacket.MAX_VARS_BYTES) {
            throw new EncoderException(
                    "vars of " + varsBytes + " bytes exceed the maximum of " + UwsgiPacket.MAX_VARS_BYTES + " bytes");
        }
        out.setShortLE(start + 1, varsBytes);
    }

    private static void writeText(String text, ByteBuf out) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        out.writeShortLE(bytes.length).writeBytes(bytes);
    }
}

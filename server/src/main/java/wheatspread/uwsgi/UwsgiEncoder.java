package wheatspread.uwsgi;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.EncoderException;
import java.nio.charset.StandardCharsets;

/** Encodes packets: the size between the two modifiers, and sizes in little-endian order. */
public final class UwsgiEncoder {
    private UwsgiEncoder() {}

    /** Writes a packet; its vars have to fit the 16 bits of its size. */
    public static void write(UwsgiPacket packet, ByteBuf out) {
        int start = out.writerIndex();
        out.writeByte(packet.modifier1()).writeShortLE(0).writeByte(packet.modifier2());
        packet.vars().forEach((name, value) -> {
            writeText(name, out);
            writeText(value, out);
        });
        int size = out.writerIndex() - start - UwsgiPacket.HEADER_BYTES;
        if (size > UwsgiPacket.MAX_VARS_BYTES) {
            throw new EncoderException("vars of " + size + " bytes do not fit a packet");
        }
        out.setShortLE(start + 1, size);
    }

    private static void writeText(String text, ByteBuf out) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        out.writeShortLE(bytes.length).writeBytes(bytes);
    }
}

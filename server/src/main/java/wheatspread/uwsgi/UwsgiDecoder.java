package wheatspread.uwsgi;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads a packet and, where {@code CONTENT_LENGTH} states one, the body behind it. Only a whole request goes
 * on; what cannot be read is passed on as {@link Malformed}, after which the connection holds no more
 * requests, since nobody knows where the next one starts.
 */
final class UwsgiDecoder extends ByteToMessageDecoder {
    private final int mostVars;
    private final int mostBody;
    private UwsgiPacket packet;
    private int bodyLength;
    private boolean broken;

    /** A packet and its body. */
    record Request(UwsgiPacket packet, byte[] body) { }

    /** What was read is no request; {@code tooLarge} where it only breaks a bound. */
    record Malformed(String complaint, boolean tooLarge) { }

    UwsgiDecoder(int mostVars, int mostBody) {
        this.mostVars = mostVars;
        this.mostBody = mostBody;
    }

    /** Whether some bytes of a request have come, but not all. */
    boolean midway() {
        return packet != null || !broken && actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (broken) {
            in.skipBytes(in.readableBytes());
        } else if (packet != null || readPacket(in, out)) {
            if (in.readableBytes() >= bodyLength) {
                byte[] body = new byte[bodyLength];
                in.readBytes(body);
                out.add(new Request(packet, body));
                packet = null;
            }
        }
    }

    private boolean readPacket(ByteBuf in, List<Object> out) {
        if (in.readableBytes() < UwsgiPacket.HEADER) {
            return false;
        }
        int size = in.getUnsignedShortLE(in.readerIndex() + 1);
        if (size > mostVars) {
            return malformed(in, out, "vars of " + size + " bytes are over " + mostVars, true);
        }
        if (in.readableBytes() < UwsgiPacket.HEADER + size) {
            return false;
        }
        int modifier1 = in.readUnsignedByte();
        in.skipBytes(2);
        int modifier2 = in.readUnsignedByte();
        if (modifier1 != UwsgiPacket.REQUEST && modifier1 != UwsgiPacket.PING) {
            return malformed(in, out, "unknown modifier " + modifier1, false);
        }
        Map<String, String> vars = readVars(in.readSlice(size));
        if (vars == null) {
            return malformed(in, out, "a var runs over the end of its packet", false);
        }
        String length = vars.getOrDefault("CONTENT_LENGTH", "");
        if (!length.matches("\\d{0,9}")) {
            return malformed(in, out, "CONTENT_LENGTH is not a length", false);
        }
        bodyLength = length.isEmpty() ? 0 : Integer.parseInt(length);
        if (bodyLength > mostBody) {
            return malformed(in, out, "a body of " + bodyLength + " bytes is over " + mostBody, true);
        }
        packet = new UwsgiPacket(modifier1, modifier2, vars);
        return true;
    }

    private boolean malformed(ByteBuf in, List<Object> out, String complaint, boolean tooLarge) {
        broken = true;
        in.skipBytes(in.readableBytes());
        out.add(new Malformed(complaint, tooLarge));
        return false;
    }

    /** The vars, or null where a size does not fit. */
    private static Map<String, String> readVars(ByteBuf in) {
        Map<String, String> vars = new LinkedHashMap<>();
        while (in.isReadable()) {
            String name = readText(in);
            String value = name == null ? null : readText(in);
            if (value == null) {
                return null;
            }
            vars.put(name, value);
        }
        return vars;
    }

    private static String readText(ByteBuf in) {
        if (in.readableBytes() < 2) {
            return null;
        }
        int size = in.readUnsignedShortLE();
        return in.readableBytes() < size ? null
            : in.readCharSequence(size, StandardCharsets.ISO_8859_1).toString();
    }
}

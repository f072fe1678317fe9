package wheatspread.uwsgi;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Reads a packet and, where {@code CONTENT_LENGTH} states one, the body behind it. Only a whole request goes
 * on; what cannot be read comes out as {@link Malformed}, after which the connection holds no more requests,
 * since nobody knows where the next one starts. There is one only while a request is being read.
 */
final class UwsgiDecoder {
    private final int mostVars;
    private final int mostBody;
    private UwsgiPacket packet;
    private int bodyLength;

    /** A packet and its body. */
    record Request(UwsgiPacket packet, byte[] body) {}

    /** What was read is no request; {@code tooLarge} where it only breaks a bound. */
    record Malformed(String complaint, boolean tooLarge) {}

    UwsgiDecoder(int mostVars, int mostBody) {
        this.mostVars = mostVars;
        this.mostBody = mostBody;
    }

    /** Whether the vars of a request have been read, and its body has not. */
    boolean awaitsBody() {
        return packet != null;
    }

    /** The next {@link Request}, {@link Malformed}, or null as long as it is not whole. */
    Object decode(ByteBuf in) {
        if (packet == null) {
            Object wrong = readPacket(in);
            if (packet == null) {
                return wrong;
            }
        }
        if (in.readableBytes() < bodyLength) {
            return null;
        }
        byte[] body = new byte[bodyLength];
        in.readBytes(body);
        Request request = new Request(packet, body);
        packet = null;
        return request;
    }

    /** What is wrong with the packet; null if nothing is. */
    private Malformed readPacket(ByteBuf in) {
        if (in.readableBytes() < UwsgiPacket.HEADER_BYTES) {
            return null;
        }
        int size = in.getUnsignedShortLE(in.readerIndex() + 1);
        if (size > mostVars) {
            return new Malformed("vars of " + size + " bytes are over " + mostVars, true);
        }
        if (in.readableBytes() < UwsgiPacket.HEADER_BYTES + size) {
            return null;
        }
        int modifier1 = in.readUnsignedByte();
        in.skipBytes(2);
        int modifier2 = in.readUnsignedByte();
        if (modifier1 != UwsgiPacket.REQUEST && modifier1 != UwsgiPacket.PING_MODIFIER) {
            return new Malformed("unknown modifier " + modifier1, false);
        }
        Map<String, String> vars = readVars(in.readSlice(size));
        if (vars == null) {
            return new Malformed("a var runs over the end of its packet", false);
        }
        String length = vars.getOrDefault("CONTENT_LENGTH", "");
        if (!length.matches("\\d{0,9}")) {
            return new Malformed("CONTENT_LENGTH is not a length", false);
        }
        bodyLength = length.isEmpty() ? 0 : Integer.parseInt(length);
        if (bodyLength > mostBody) {
            return new Malformed("a body of " + bodyLength + " bytes is over " + mostBody, true);
        }
        packet = new UwsgiPacket(modifier1, modifier2, vars);
        return null;
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
        return in.readableBytes() < size
                ? null
                : in.readCharSequence(size, StandardCharsets.ISO_8859_1).toString();
    }
}

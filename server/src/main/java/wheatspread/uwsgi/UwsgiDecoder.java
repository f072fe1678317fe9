package wheatspread.uwsgi;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decodes a packet and, if it has the var {@code CONTENT_LENGTH}, the body of that many bytes after the packet.
 * The result is a {@link Request} or {@link Malformed}. After a malformed packet the connection must not be read
 * further, because the start of the next request is unknown. A connection has a decoder only while a request is
 * being read.
 */
final class UwsgiDecoder {
    private final int maxVarsBytes;
    private final int maxBodyBytes;
    /** The packet whose body has not been read; null between requests. */
    private UwsgiPacket packet;

    private int bodyBytes;

    /** A packet and its body. */
    record Request(UwsgiPacket packet, byte[] body) {}

    /** Input that is not a request; {@code tooLarge} if it is well-formed but exceeds a limit. */
    record Malformed(String problem, boolean tooLarge) {}

    UwsgiDecoder(int maxVarsBytes, int maxBodyBytes) {
        this.maxVarsBytes = maxVarsBytes;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Returns whether the vars of a request have been read and its body has not. */
    boolean awaitsBody() {
        return packet != null;
    }

    /** Returns the next {@link Request}, {@link Malformed}, or null if the request is incomplete. */
    Object decode(ByteBuf in) {
        if (packet == null) {
            Malformed malformed = readPacket(in);
            if (packet == null) {
                return malformed;
            }
        }
        if (in.readableBytes() < bodyBytes) {
            return null;
        }
        byte[] body = new byte[bodyBytes];
        in.readBytes(body);
        Request request = new Request(packet, body);
        packet = null;
        return request;
    }

    /** Reads a packet if it is complete. Returns the error if it is malformed, otherwise null. */
    private Malformed readPacket(ByteBuf in) {
        if (in.readableBytes() < UwsgiPacket.HEADER_BYTES) {
            return null;
        }
        int varsBytes = in.getUnsignedShortLE(in.readerIndex() + 1);
        if (varsBytes > maxVarsBytes) {
            return new Malformed("vars of " + varsBytes + " bytes are over " + maxVarsBytes, true);
        }
        if (in.readableBytes() < UwsgiPacket.HEADER_BYTES + varsBytes) {
            return null;
        }
        int modifier1 = in.readUnsignedByte();
        in.skipBytes(2);
        int modifier2 = in.readUnsignedByte();
        if (modifier1 != UwsgiPacket.REQUEST_MODIFIER && modifier1 != UwsgiPacket.PING_MODIFIER) {
            return new Malformed("unknown modifier " + modifier1, false);
        }
        Map<String, String> vars = readVars(in.readSlice(varsBytes));
        if (vars == null) {
            return new Malformed("a var runs over the end of its packet", false);
        }
        String length = vars.getOrDefault(UwsgiWireNames.CONTENT_LENGTH, "");
        if (!length.matches("\\d{0,9}")) {
            return new Malformed("CONTENT_LENGTH is not a length", false);
        }
        bodyBytes = length.isEmpty() ? 0 : Integer.parseInt(length);
        if (bodyBytes > maxBodyBytes) {
            return new Malformed("a body of " + bodyBytes + " bytes is over " + maxBodyBytes, true);
        }
        packet = new UwsgiPacket(modifier1, modifier2, vars);
        return null;
    }

    /** Returns the vars in the order received; null if a var extends beyond the end of the packet. */
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
        int textBytes = in.readUnsignedShortLE();
        return in.readableBytes() < textBytes
                ? null
                : in.readCharSequence(textBytes, StandardCharsets.ISO_8859_1).toString();
    }
}

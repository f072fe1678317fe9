package wheatspread.uwsgi;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decodes a packet and, if {@code CONTENT_LENGTH} states one, the body after it. The result is a whole
 * request, or {@link Malformed}, after which the connection carries no more requests, since the start of the
 * next one is unknown. A connection has a decoder only while a request is being read.
 */
final class UwsgiDecoder {
    private final int maxVarsBytes;
    private final int maxBodyBytes;
    /** The packet whose body has not been read; null between requests. */
    private UwsgiPacket packet;

    private int bodyLength;

    /** A packet and its body. */
    record Request(UwsgiPacket packet, byte[] body) {}

    /** What was read is no request; {@code tooLarge} if it only exceeds a limit. */
    record Malformed(String problem, boolean tooLarge) {}

    UwsgiDecoder(int maxVarsBytes, int maxBodyBytes) {
        this.maxVarsBytes = maxVarsBytes;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Whether the vars of a request have been read and its body has not. */
    boolean awaitsBody() {
        return packet != null;
    }

    /** Returns the next {@link Request}, {@link Malformed}, or null if the request is not whole yet. */
    Object decode(ByteBuf in) {
        if (packet == null) {
            Malformed malformed = readPacket(in);
            if (packet == null) {
                return malformed;
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

    /** Reads a packet, if it is whole; returns what is wrong with it, or null. */
    private Malformed readPacket(ByteBuf in) {
        if (in.readableBytes() < UwsgiPacket.HEADER_BYTES) {
            return null;
        }
        int size = in.getUnsignedShortLE(in.readerIndex() + 1);
        if (size > maxVarsBytes) {
            return new Malformed("vars of " + size + " bytes are over " + maxVarsBytes, true);
        }
        if (in.readableBytes() < UwsgiPacket.HEADER_BYTES + size) {
            return null;
        }
        int modifier1 = in.readUnsignedByte();
        in.skipBytes(2);
        int modifier2 = in.readUnsignedByte();
        if (modifier1 != UwsgiPacket.REQUEST_MODIFIER && modifier1 != UwsgiPacket.PING_MODIFIER) {
            return new Malformed("unknown modifier " + modifier1, false);
        }
        Map<String, String> vars = readVars(in.readSlice(size));
        if (vars == null) {
            return new Malformed("a var runs over the end of its packet", false);
        }
        String length = vars.getOrDefault(UwsgiWireNames.CONTENT_LENGTH, "");
        if (!length.matches("\\d{0,9}")) {
            return new Malformed("CONTENT_LENGTH is not a length", false);
        }
        bodyLength = length.isEmpty() ? 0 : Integer.parseInt(length);
        if (bodyLength > maxBodyBytes) {
            return new Malformed("a body of " + bodyLength + " bytes is over " + maxBodyBytes, true);
        }
        packet = new UwsgiPacket(modifier1, modifier2, vars);
        return null;
    }

    /** Returns the vars; null if one runs over the end of the packet. */
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

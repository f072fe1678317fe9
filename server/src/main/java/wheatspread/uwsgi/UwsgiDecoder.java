package wheatspread.uwsgi;

import io.netty.buffer.ByteBuf;
import java.util.Map;

/**
 * Decodes a packet and, if it has the var {@code CONTENT_LENGTH}, the body of that many bytes after the packet.
 * The result is a {@link Request} or {@link Malformed}. After a malformed packet the connection must not be read
 * further, because the start of the next request is unknown. A request is left in the received bytes until it is
 * complete, so that an incomplete one takes no more memory than its bytes.
 */
final class UwsgiDecoder {
    private static final int UNKNOWN = -1;

    private final WantedVars wantedVars;
    private final int maxVarsBytes;
    private final int maxBodyBytes;
    /** The size of the body of the request being received; unknown until its vars are received. */
    private int bodyBytes = UNKNOWN;

    /** A packet with the wanted vars, and its body. */
    record Request(UwsgiPacket packet, byte[] body) {}

    /** Input that is not a request; {@code tooLarge} if it is well-formed but exceeds a limit. */
    record Malformed(String problem, boolean tooLarge) {}

    UwsgiDecoder(WantedVars wantedVars, int maxVarsBytes, int maxBodyBytes) {
        this.wantedVars = wantedVars;
        this.maxVarsBytes = maxVarsBytes;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Returns the next {@link Request}, {@link Malformed}, or null if the request is incomplete. */
    Object decode(ByteBuf in) {
        if (in.readableBytes() < UwsgiPacket.HEADER_BYTES) {
            return null;
        }
        int varsBytes = in.getUnsignedShortLE(in.readerIndex() + 1);
        if (varsBytes > maxVarsBytes) {
            return new Malformed("vars of " + varsBytes + " bytes are over " + maxVarsBytes, true);
        }
        int packetBytes = UwsgiPacket.HEADER_BYTES + varsBytes;
        if (in.readableBytes() < packetBytes) {
            return null;
        }
        boolean bodyIncomplete = bodyBytes != UNKNOWN && in.readableBytes() < packetBytes + bodyBytes;
        return bodyIncomplete ? null : decodePacket(in, varsBytes);
    }

    /** Decodes a complete packet; returns null if its body is incomplete. */
    private Object decodePacket(ByteBuf in, int varsBytes) {
        int modifier1 = in.getUnsignedByte(in.readerIndex());
        if (modifier1 != UwsgiPacket.REQUEST_MODIFIER && modifier1 != UwsgiPacket.PING_MODIFIER) {
            return new Malformed("unknown modifier " + modifier1, false);
        }
        int packetBytes = UwsgiPacket.HEADER_BYTES + varsBytes;
        Map<String, String> vars = wantedVars.read(in, in.readerIndex() + UwsgiPacket.HEADER_BYTES, varsBytes);
        if (vars == null) {
            return new Malformed("a var runs over the end of its packet", false);
        }
        Malformed malformed = readBodySize(vars);
        if (malformed != null) {
            return malformed;
        }
        return in.readableBytes() < packetBytes + bodyBytes ? null : readRequest(in, vars, packetBytes);
    }

    /** Reads the size of the body from the vars. Returns the error if it is invalid, otherwise null. */
    private Malformed readBodySize(Map<String, String> vars) {
        String length = vars.getOrDefault(UwsgiWireNames.CONTENT_LENGTH, "");
        if (!length.matches("\\d{0,9}")) {
            return new Malformed("CONTENT_LENGTH is not a length", false);
        }
        int announcedBytes = length.isEmpty() ? 0 : Integer.parseInt(length);
        if (announcedBytes > maxBodyBytes) {
            return new Malformed("a body of " + announcedBytes + " bytes is over " + maxBodyBytes, true);
        }
        bodyBytes = announcedBytes;
        return null;
    }

    private Request readRequest(ByteBuf in, Map<String, String> vars, int packetBytes) {
        int start = in.readerIndex();
        int modifier1 = in.getUnsignedByte(start);
        int modifier2 = in.getUnsignedByte(start + UwsgiPacket.HEADER_BYTES - 1);
        in.skipBytes(packetBytes);
        byte[] body = new byte[bodyBytes];
        in.readBytes(body);
        bodyBytes = UNKNOWN;
        return new Request(new UwsgiPacket(modifier1, modifier2, vars), body);
    }
}

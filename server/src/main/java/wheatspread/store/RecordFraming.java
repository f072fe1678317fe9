package wheatspread.store;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The frame around a record: length of the body (4 bytes, big endian), CRC32C (Castagnoli polynomial, RFC 3720)
 * of length and body (4 bytes), body. A frame is complete or it does not count; a file that ends within its
 * last frame is torn, any other mismatch is damage. Stateless, no I/O.
 */
public final class RecordFraming {
    /** Bytes before a body. */
    public static final int HEADER_BYTES = 8;
    /** The longest body; a length beyond it can only be damage. */
    public static final int MAX_BODY_BYTES = 16 << 20;

    /** What was found at a position. */
    public enum Found {
        COMPLETE,
        END,
        TORN,
        DAMAGED
    }

    private RecordFraming() {}

    /** The length in bytes of the frame around a body of this length. */
    public static int frameBytes(int body) {
        return HEADER_BYTES + body;
    }

    /** Writes a frame round the bytes from {@code body}'s position to its limit, which are read. */
    public static void write(ByteBuffer body, ByteBuffer to) {
        int length = body.remaining();
        if (length > MAX_BODY_BYTES) {
            throw new IllegalArgumentException("a record of " + length + " bytes is over " + MAX_BODY_BYTES);
        }
        to.putInt(length).putInt(checksum(length, body.duplicate())).put(body);
    }

    /**
     * Completes a frame in place: writes the header before a body that is already there. {@code scratch} is
     * overwritten.
     */
    static void close(byte[] bytes, int at, int length, CRC32C scratch) {
        ByteBuffer head = ByteBuffer.wrap(bytes, at, HEADER_BYTES).putInt(length);
        scratch.reset();
        scratch.update(bytes, at, Integer.BYTES);
        scratch.update(bytes, at + HEADER_BYTES, length);
        head.putInt((int) scratch.getValue());
    }

    /**
     * Looks at the position of {@code from}, which holds all that the file still has. Only where a frame is
     * COMPLETE is the position moved behind it, and {@code body} set to its body (a view, not a copy).
     */
    public static Found read(ByteBuffer from, ByteBuffer[] body) {
        if (!from.hasRemaining()) {
            return Found.END;
        }
        if (from.remaining() < HEADER_BYTES) {
            return Found.TORN;
        }
        int at = from.position();
        int length = from.getInt(at);
        if (length < 0 || length > MAX_BODY_BYTES) {
            return Found.DAMAGED;
        }
        if (from.remaining() - HEADER_BYTES < length) {
            return Found.TORN;
        }
        ByteBuffer view = from.slice(at + HEADER_BYTES, length);
        if (checksum(length, view.duplicate()) != from.getInt(at + 4)) {
            return Found.DAMAGED;
        }
        from.position(at + HEADER_BYTES + length);
        body[0] = view;
        return Found.COMPLETE;
    }

    /**
     * The length counts too, or a damaged one could frame other bytes whose checksum happens to stand
     * there.
     */
    private static int checksum(int length, ByteBuffer body) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(4).putInt(0, length));
        crc.update(body);
        return (int) crc.getValue();
    }
}

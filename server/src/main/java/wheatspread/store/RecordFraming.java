package wheatspread.store;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * Reads and writes the frame around a record: length of the body (4 bytes, big endian), CRC32C (Castagnoli
 * polynomial, RFC 3720) of length and body (4 bytes), body. An incomplete frame is ignored as a whole; a file that
 * ends within its last frame is torn, and any other mismatch is damage. Stateless, no I/O.
 */
public final class RecordFraming {
    /** The length of the header of a frame. */
    public static final int HEADER_BYTES = 8;
    /** The maximum length of a body; a greater length in a header is damage. */
    public static final int MAX_BODY_BYTES = 16 << 20;

    /** The result of reading a frame. */
    public enum Found {
        COMPLETE,
        END,
        TORN,
        DAMAGED
    }

    private RecordFraming() {}

    /** Returns the length in bytes of the frame around a body of {@code bodyBytes}. */
    public static int frameBytes(int bodyBytes) {
        return HEADER_BYTES + bodyBytes;
    }

    /** Writes a frame around the remaining bytes of {@code body}, which are consumed. */
    public static void write(ByteBuffer body, ByteBuffer target) {
        int length = body.remaining();
        if (length > MAX_BODY_BYTES) {
            throw new IllegalArgumentException(
                    "record of " + length + " bytes exceeds the limit of " + MAX_BODY_BYTES + " bytes");
        }
        target.putInt(length).putInt(checksum(length, body.duplicate())).put(body);
    }

    /**
     * Completes a frame in place by writing the header at {@code offset}, before the existing body. {@code scratch}
     * is overwritten.
     */
    static void writeHeader(byte[] bytes, int offset, int length, CRC32C scratch) {
        ByteBuffer head = ByteBuffer.wrap(bytes, offset, HEADER_BYTES).putInt(length);
        scratch.reset();
        scratch.update(bytes, offset, Integer.BYTES);
        scratch.update(bytes, offset + HEADER_BYTES, length);
        head.putInt((int) scratch.getValue());
    }

    /**
     * Reads the frame at the position of {@code from}, which contains the rest of the file. Only if the frame is
     * COMPLETE, the position is moved past it and {@code body[0]} is set to its body (a view, not a copy).
     */
    public static Found read(ByteBuffer from, ByteBuffer[] body) {
        if (!from.hasRemaining()) {
            return Found.END;
        }
        if (from.remaining() < HEADER_BYTES) {
            return Found.TORN;
        }
        int offset = from.position();
        int length = from.getInt(offset);
        if (length < 0 || length > MAX_BODY_BYTES) {
            return Found.DAMAGED;
        }
        if (from.remaining() - HEADER_BYTES < length) {
            return Found.TORN;
        }
        ByteBuffer view = from.slice(offset + HEADER_BYTES, length);
        if (checksum(length, view.duplicate()) != from.getInt(offset + 4)) {
            return Found.DAMAGED;
        }
        from.position(offset + HEADER_BYTES + length);
        body[0] = view;
        return Found.COMPLETE;
    }

    /**
     * Computes the checksum of a frame. It includes the length, because otherwise a frame with a damaged length could
     * enclose different bytes that happen to match the checksum.
     */
    private static int checksum(int length, ByteBuffer body) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(4).putInt(0, length));
        crc.update(body);
        return (int) crc.getValue();
    }
}

package wheatspread.store;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Map;
import java.util.zip.CRC32C;
import org.agrona.collections.LongArrayList;

/**
 * Encodes a group: a frame that describes the group, followed by the frames of its records. The buffer is reused
 * for successive groups. Not thread-safe.
 */
final class GroupEncoder {
    /** An upper bound of the size of a group's descriptor frame without its hashes. */
    private static final int GROUP_FRAME_RESERVE_BYTES = 64;

    private static final int MAX_RETAINED_BUFFER_BYTES = 4 << 20;

    private final LongArrayList hashes = new LongArrayList();
    private final CRC32C checksum = new CRC32C();
    private byte[] bytes = new byte[16 << 10];
    private int start;
    private int end;
    private int groupFrameBytes;

    /** Starts a group of at most {@code maxRecords} records. */
    void startGroup(int maxRecords) {
        hashes.clear();
        if (bytes.length > MAX_RETAINED_BUFFER_BYTES) {
            bytes = new byte[16 << 10];
        }
        start = GROUP_FRAME_RESERVE_BYTES + Long.BYTES * maxRecords;
        end = start;
    }

    /** Returns the bytes of the record frames added so far. */
    int size() {
        return end - start;
    }

    int records() {
        return hashes.size();
    }

    /** Creates a single record for all cuts, so that either all cuts are stored or none is. */
    static Format.Record cuts(Map<Integer, Integer> cuts) {
        Format.Record.Builder record = Format.Record.newBuilder().setKind(Format.Record.Kind.CUT);
        cuts.forEach((segment, length) ->
                record.addCuts(Format.Cut.newBuilder().setSegment(segment).setLength(length)));
        return record.build();
    }

    static Format.Record suspectedLoss(LongArrayList hashes, boolean allKeys, long untilMillis) {
        Format.Doubt.Builder loss = Format.Doubt.newBuilder().setAll(allKeys).setUntilMs(untilMillis);
        hashes.forEachOrderedLong(loss::addHashes);
        return Format.Record.newBuilder()
                .setKind(Format.Record.Kind.DOUBT)
                .setDoubt(loss)
                .build();
    }

    /**
     * Adds a record.
     *
     * @param hash the hash of the key of the record; 0 if the record has no key
     * @return the offset of the frame of the record, relative to the end of the descriptor frame
     */
    int add(long hash, Format.Record record) {
        return frame(hash, record.getSerializedSize(), record::writeTo);
    }

    /**
     * Adds a PUT, or a DELETE if the value is null. Encodes field by field, which is several times as fast as building
     * a protobuf message.
     */
    int add(long hash, byte[] key, byte[] value, long expiresMs) {
        int kind = value == null ? Format.Record.Kind.DELETE_VALUE : Format.Record.Kind.PUT_VALUE;
        boolean hasValue = value != null && value.length > 0;
        int size = CodedOutputStream.computeEnumSize(Format.Record.KIND_FIELD_NUMBER, kind)
                + (key.length > 0 ? CodedOutputStream.computeByteArraySize(Format.Record.KEY_FIELD_NUMBER, key) : 0)
                + (hasValue ? CodedOutputStream.computeByteArraySize(Format.Record.VALUE_FIELD_NUMBER, value) : 0)
                + (expiresMs != 0
                        ? CodedOutputStream.computeFixed64Size(Format.Record.EXPIRES_MS_FIELD_NUMBER, expiresMs)
                        : 0);
        return frame(hash, size, output -> {
            output.writeEnum(Format.Record.KIND_FIELD_NUMBER, kind);
            if (key.length > 0) {
                output.writeByteArray(Format.Record.KEY_FIELD_NUMBER, key);
            }
            if (hasValue) {
                output.writeByteArray(Format.Record.VALUE_FIELD_NUMBER, value);
            }
            if (expiresMs != 0) {
                output.writeFixed64(Format.Record.EXPIRES_MS_FIELD_NUMBER, expiresMs);
            }
        });
    }

    /** Returns the length of the frame at an offset that {@link #add} returned. */
    int length(int groupOffset) {
        return RecordFraming.frameBytes(ByteBuffer.wrap(bytes).getInt(start + groupOffset));
    }

    /**
     * Ends the group.
     *
     * @param fileOffset the offset in the file at which the group is appended
     * @param syncedBytes the length up to which the file has been synced
     */
    ByteBuffer end(long mark, int fileOffset, int syncedBytes) {
        int hashBytes = Long.BYTES * hashes.size();
        // protobuf omits fields with the value 0
        int groupSize = CodedOutputStream.computeFixed64Size(Format.Group.MARK_FIELD_NUMBER, mark)
                + (fileOffset != 0 ? CodedOutputStream.computeFixed32Size(Format.Group.AT_FIELD_NUMBER, fileOffset) : 0)
                + (size() != 0 ? CodedOutputStream.computeFixed32Size(Format.Group.LENGTH_FIELD_NUMBER, size()) : 0)
                + (syncedBytes != 0
                        ? CodedOutputStream.computeFixed32Size(Format.Group.SYNCED_FIELD_NUMBER, syncedBytes)
                        : 0)
                + (hashBytes != 0
                        ? CodedOutputStream.computeTagSize(Format.Group.HASHES_FIELD_NUMBER)
                                + CodedOutputStream.computeUInt32SizeNoTag(hashBytes)
                                + hashBytes
                        : 0);
        int size = CodedOutputStream.computeEnumSize(Format.Record.KIND_FIELD_NUMBER, Format.Record.Kind.GROUP_VALUE)
                + CodedOutputStream.computeTagSize(Format.Record.GROUP_FIELD_NUMBER)
                + CodedOutputStream.computeUInt32SizeNoTag(groupSize)
                + groupSize;
        groupFrameBytes = RecordFraming.frameBytes(size);
        frameAt(start - groupFrameBytes, size, output -> {
            output.writeEnum(Format.Record.KIND_FIELD_NUMBER, Format.Record.Kind.GROUP_VALUE);
            output.writeTag(Format.Record.GROUP_FIELD_NUMBER, WireFormat.WIRETYPE_LENGTH_DELIMITED);
            output.writeUInt32NoTag(groupSize);
            output.writeFixed64(Format.Group.MARK_FIELD_NUMBER, mark);
            if (fileOffset != 0) {
                output.writeFixed32(Format.Group.AT_FIELD_NUMBER, fileOffset);
            }
            if (size() != 0) {
                output.writeFixed32(Format.Group.LENGTH_FIELD_NUMBER, size());
            }
            if (syncedBytes != 0) {
                output.writeFixed32(Format.Group.SYNCED_FIELD_NUMBER, syncedBytes);
            }
            if (hashBytes != 0) {
                output.writeTag(Format.Group.HASHES_FIELD_NUMBER, WireFormat.WIRETYPE_LENGTH_DELIMITED);
                output.writeUInt32NoTag(hashBytes);
                for (int i = 0; i < hashes.size(); i++) {
                    output.writeFixed64NoTag(hashes.getLong(i));
                }
            }
        });
        return ByteBuffer.wrap(bytes, start - groupFrameBytes, groupFrameBytes + size());
    }

    /** Returns the length of the descriptor frame; valid after {@link #end}. */
    int groupFrameBytes() {
        return groupFrameBytes;
    }

    /** Encodes the seal, which is the last frame of a complete segment. */
    static ByteBuffer seal(long mark, int fileOffset) {
        Format.Record record = Format.Record.newBuilder()
                .setKind(Format.Record.Kind.SEAL)
                .setSeal(Format.Seal.newBuilder().setMark(mark).setAt(fileOffset))
                .build();
        ByteBuffer frame = ByteBuffer.allocate(RecordFraming.frameBytes(record.getSerializedSize()));
        RecordFraming.write(ByteBuffer.wrap(record.toByteArray()), frame);
        return frame.flip();
    }

    /** Writes the body of a frame, whose size is already known. */
    @FunctionalInterface
    private interface Body {
        void writeTo(CodedOutputStream output) throws IOException;
    }

    private int frame(long hash, int size, Body body) {
        hashes.addLong(hash);
        int bufferOffset = end;
        end += RecordFraming.frameBytes(size);
        if (end > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(end, bytes.length * 2));
        }
        frameAt(bufferOffset, size, body);
        return bufferOffset - start;
    }

    private void frameAt(int bufferOffset, int size, Body body) {
        try {
            CodedOutputStream output =
                    CodedOutputStream.newInstance(bytes, bufferOffset + RecordFraming.HEADER_BYTES, size);
            body.writeTo(output);
            output.checkNoSpaceLeft();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // cannot occur: the stream writes to an array
        }
        RecordFraming.writeHeader(bytes, bufferOffset, size, checksum);
    }
}

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
 * Encodes one group: a frame that describes the group, and the frames of its records. One buffer is used for
 * one group after another. For one thread.
 */
final class GroupEncoder {
    /** More than a group's own frame takes without its hashes. */
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

    /** Bytes of the records so far. */
    int size() {
        return end - start;
    }

    int records() {
        return hashes.size();
    }

    /** One record for all, so that they are there together or not at all. */
    static Format.Record cuts(Map<Integer, Integer> cuts) {
        Format.Record.Builder record = Format.Record.newBuilder().setKind(Format.Record.Kind.CUT);
        cuts.forEach((segment, length) ->
                record.addCuts(Format.Cut.newBuilder().setSegment(segment).setLength(length)));
        return record.build();
    }

    static Format.Record suspectedLoss(LongArrayList hashes, boolean all, long untilMillis) {
        Format.Doubt.Builder loss = Format.Doubt.newBuilder().setAll(all).setUntilMs(untilMillis);
        hashes.forEachOrderedLong(loss::addHashes);
        return Format.Record.newBuilder()
                .setKind(Format.Record.Kind.DOUBT)
                .setDoubt(loss)
                .build();
    }

    /**
     * Adds a record.
     *
     * @param hash of its key, 0 if it has none
     * @return the offset of its frame behind the group's own
     */
    int add(long hash, Format.Record record) {
        return frame(hash, record.getSerializedSize(), record::writeTo);
    }

    /** Adds a PUT, or a DELETE if the value is null; field by field, which is several times as fast. */
    int add(long hash, byte[] key, byte[] value, long expiresMs) {
        int kind = value == null ? Format.Record.Kind.DELETE_VALUE : Format.Record.Kind.PUT_VALUE;
        boolean hasValue = value != null && value.length > 0;
        int size = CodedOutputStream.computeEnumSize(Format.Record.KIND_FIELD_NUMBER, kind)
                + (key.length > 0 ? CodedOutputStream.computeByteArraySize(Format.Record.KEY_FIELD_NUMBER, key) : 0)
                + (hasValue ? CodedOutputStream.computeByteArraySize(Format.Record.VALUE_FIELD_NUMBER, value) : 0)
                + (expiresMs != 0
                        ? CodedOutputStream.computeFixed64Size(Format.Record.EXPIRES_MS_FIELD_NUMBER, expiresMs)
                        : 0);
        return frame(hash, size, to -> {
            to.writeEnum(Format.Record.KIND_FIELD_NUMBER, kind);
            if (key.length > 0) {
                to.writeByteArray(Format.Record.KEY_FIELD_NUMBER, key);
            }
            if (hasValue) {
                to.writeByteArray(Format.Record.VALUE_FIELD_NUMBER, value);
            }
            if (expiresMs != 0) {
                to.writeFixed64(Format.Record.EXPIRES_MS_FIELD_NUMBER, expiresMs);
            }
        });
    }

    /** The length of the frame that {@link #add} wrote at this place. */
    int length(int at) {
        return RecordFraming.frameBytes(ByteBuffer.wrap(bytes).getInt(start + at));
    }

    /**
     * Ends the group.
     *
     * @param at where it is going to stand
     * @param synced what was on the disk before it
     */
    ByteBuffer end(long mark, int at, int synced) {
        int hashBytes = Long.BYTES * hashes.size();
        // what is 0 is left out, as everywhere in a protobuf message
        int groupSize = CodedOutputStream.computeFixed64Size(Format.Group.MARK_FIELD_NUMBER, mark)
                + (at != 0 ? CodedOutputStream.computeFixed32Size(Format.Group.AT_FIELD_NUMBER, at) : 0)
                + (size() != 0 ? CodedOutputStream.computeFixed32Size(Format.Group.LENGTH_FIELD_NUMBER, size()) : 0)
                + (synced != 0 ? CodedOutputStream.computeFixed32Size(Format.Group.SYNCED_FIELD_NUMBER, synced) : 0)
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
        frameAt(start - groupFrameBytes, size, to -> {
            to.writeEnum(Format.Record.KIND_FIELD_NUMBER, Format.Record.Kind.GROUP_VALUE);
            to.writeTag(Format.Record.GROUP_FIELD_NUMBER, WireFormat.WIRETYPE_LENGTH_DELIMITED);
            to.writeUInt32NoTag(groupSize);
            to.writeFixed64(Format.Group.MARK_FIELD_NUMBER, mark);
            if (at != 0) {
                to.writeFixed32(Format.Group.AT_FIELD_NUMBER, at);
            }
            if (size() != 0) {
                to.writeFixed32(Format.Group.LENGTH_FIELD_NUMBER, size());
            }
            if (synced != 0) {
                to.writeFixed32(Format.Group.SYNCED_FIELD_NUMBER, synced);
            }
            if (hashBytes != 0) {
                to.writeTag(Format.Group.HASHES_FIELD_NUMBER, WireFormat.WIRETYPE_LENGTH_DELIMITED);
                to.writeUInt32NoTag(hashBytes);
                for (int i = 0; i < hashes.size(); i++) {
                    to.writeFixed64NoTag(hashes.getLong(i));
                }
            }
        });
        return ByteBuffer.wrap(bytes, start - groupFrameBytes, groupFrameBytes + size());
    }

    /** Bytes of the group's own frame, once it has ended. */
    int groupFrameBytes() {
        return groupFrameBytes;
    }

    /** The last frame of a file. */
    static ByteBuffer seal(long mark, int at) {
        Format.Record record = Format.Record.newBuilder()
                .setKind(Format.Record.Kind.SEAL)
                .setSeal(Format.Seal.newBuilder().setMark(mark).setAt(at))
                .build();
        ByteBuffer frame = ByteBuffer.allocate(RecordFraming.frameBytes(record.getSerializedSize()));
        RecordFraming.write(ByteBuffer.wrap(record.toByteArray()), frame);
        return frame.flip();
    }

    /** Writes a body whose size is already known. */
    @FunctionalInterface
    private interface Body {
        void to(CodedOutputStream to) throws IOException;
    }

    private int frame(long hash, int size, Body body) {
        hashes.addLong(hash);
        int at = end;
        end += RecordFraming.frameBytes(size);
        if (end > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(end, bytes.length * 2));
        }
        frameAt(at, size, body);
        return at - start;
    }

    private void frameAt(int at, int size, Body body) {
        try {
            CodedOutputStream to = CodedOutputStream.newInstance(bytes, at + RecordFraming.HEADER_BYTES, size);
            body.to(to);
            to.checkNoSpaceLeft();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // an array has no disk
        }
        RecordFraming.close(bytes, at, size, checksum);
    }
}

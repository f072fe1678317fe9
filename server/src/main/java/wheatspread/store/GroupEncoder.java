package wheatspread.store;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.UnsafeByteOperations;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Map;
import org.agrona.collections.LongArrayList;

/**
 * Builds the bytes of one group: a frame that says what belongs to it, and the frames of its records. One
 * buffer serves one group after another.
 */
final class GroupEncoder {
    /** More than a group's own frame takes without its hashes. */
    private static final int HEAD_ROOM = 64;
    private static final int KEPT = 4 << 20;

    private final LongArrayList hashes = new LongArrayList();
    private byte[] bytes = new byte[16 << 10];
    private int start;
    private int end;
    private int headSize;

    /** Begins a group of at most {@code most} records. */
    void begin(int most) {
        hashes.clear();
        if (bytes.length > KEPT) {
            bytes = new byte[16 << 10];
        }
        start = HEAD_ROOM + Long.BYTES * most;
        end = start;
    }

    /** Bytes of the records so far. */
    int size() {
        return end - start;
    }

    int records() {
        return hashes.size();
    }

    static Format.Record put(byte[] key, byte[] value, long expiresMs) {
        return Format.Record.newBuilder().setKind(Format.Record.Kind.PUT).setKey(wrap(key))
            .setValue(wrap(value)).setExpiresMs(expiresMs).build();
    }

    static Format.Record delete(byte[] key) {
        return delete(wrap(key));
    }

    static Format.Record delete(ByteString key) {
        return Format.Record.newBuilder().setKind(Format.Record.Kind.DELETE).setKey(key).build();
    }

    /** One record for all, so that they are there together or not at all. */
    static Format.Record cuts(Map<Integer, Integer> cuts) {
        Format.Record.Builder record = Format.Record.newBuilder().setKind(Format.Record.Kind.CUT);
        cuts.forEach((segment, length) -> record.addCuts(Format.Cut.newBuilder().setSegment(segment)
            .setLength(length)));
        return record.build();
    }

    static Format.Record doubt(LongArrayList hashes, boolean all, long untilMs) {
        Format.Doubt.Builder doubt = Format.Doubt.newBuilder().setAll(all).setUntilMs(untilMs);
        hashes.forEachOrderedLong(doubt::addHashes);
        return Format.Record.newBuilder().setKind(Format.Record.Kind.DOUBT).setDoubt(doubt).build();
    }

    private static ByteString wrap(byte[] bytes) {
        return UnsafeByteOperations.unsafeWrap(bytes);
    }

    /**
     * Adds a record.
     *
     * @param hash of its key, 0 if it has none
     * @return where its frame stands behind the group's own
     */
    int add(long hash, Format.Record record) {
        hashes.addLong(hash);
        int at = end;
        end = frame(record, end);
        return at - start;
    }

    /** The length of the frame that {@link #add} wrote at this place. */
    int length(int at) {
        return Frames.sizeOf(ByteBuffer.wrap(bytes).getInt(start + at));
    }

    /**
     * Ends the group.
     *
     * @param at where it is going to stand
     * @param synced what was on the disk before it
     */
    ByteBuffer end(long mark, int at, int synced) {
        Format.Group.Builder group = Format.Group.newBuilder().setMark(mark).setAt(at).setLength(size())
            .setSynced(synced);
        hashes.forEachOrderedLong(group::addHashes);
        Format.Record head = Format.Record.newBuilder().setKind(Format.Record.Kind.GROUP).setGroup(group)
            .build();
        headSize = Frames.sizeOf(head.getSerializedSize());
        frameAt(head, start - headSize);
        return ByteBuffer.wrap(bytes, start - headSize, headSize + size());
    }

    /** Bytes of the group's own frame, once it has ended. */
    int headSize() {
        return headSize;
    }

    /** The last frame of a file. */
    static ByteBuffer seal(long mark, int at) {
        Format.Record record = Format.Record.newBuilder().setKind(Format.Record.Kind.SEAL)
            .setSeal(Format.Seal.newBuilder().setMark(mark).setAt(at)).build();
        ByteBuffer frame = ByteBuffer.allocate(Frames.sizeOf(record.getSerializedSize()));
        Frames.write(ByteBuffer.wrap(record.toByteArray()), frame);
        return frame.flip();
    }

    private int frame(Format.Record record, int at) {
        int size = Frames.sizeOf(record.getSerializedSize());
        if (at + size > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(at + size, bytes.length * 2));
        }
        frameAt(record, at);
        return at + size;
    }

    private void frameAt(Format.Record record, int at) {
        int size = record.getSerializedSize();
        try {
            CodedOutputStream body = CodedOutputStream.newInstance(bytes, at + Frames.HEAD, size);
            record.writeTo(body);
            body.checkNoSpaceLeft();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // an array has no disk
        }
        Frames.close(ByteBuffer.wrap(bytes, at, Frames.HEAD + size), size);
    }
}

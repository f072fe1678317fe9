package wheatspread.store;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.agrona.collections.LongArrayList;
import wheatspread.disk.DiskFile;

/**
 * Reads a segment step by step from an offset to its end, and distinguishes a torn write from damage. Each
 * group states up to which offset the file was synced when the group was written: an invalid frame before that
 * offset is damage to an acknowledged write; an invalid frame after it is a torn write that was never acknowledged.
 *
 * <p>Not thread-safe. Does not own the file and does not close it.
 */
final class SegmentScan {
    /** The result of {@link #advance}; the accessors return its details. */
    enum Step {
        /** A group starts at {@link #offset()}. */
        GROUP,
        /**
         * A record at {@link #offset()}: {@link #record()} with {@link #hash()} in a frame of {@link #frameBytes()}
         * bytes.
         */
        RECORD,
        /**
         * Damage at {@link #offset()}: records were lost, whose keys have the hashes {@link #lostHashes()}, or whose
         * keys are unknown if {@link #lostUnknownKeys()}.
         */
        DAMAGE,
        /** The end of the segment; {@link #end()} states how it ends. */
        END
    }

    /** How a segment ends. */
    enum End {
        /** With its seal; the segment is complete. */
        SEALED,
        /** At the offset that a later segment states. */
        CUT,
        /** After a complete group, without a seal. */
        UNSEALED,
        /** Within a write that was never acknowledged, which starts at {@link SegmentScan#offset()}. */
        TORN,
        /** The segment was never used: its header is incomplete. */
        EMPTY
    }

    /** The value of {@code cutOffset} if no later segment states where this segment ends. */
    static final int NO_CUT = -1;

    private static final int SEAL_BYTES = GroupEncoder.seal(1, 1).remaining();
    /**
     * The maximum number of wrong bits in an accepted seal. A damaged seal may be accepted, since it contains no
     * records, and bytes that are not a seal differ from it in more bits.
     */
    private static final int MAX_WRONG_SEAL_BITS = 8;
    /**
     * A lower bound of the length of a group's descriptor frame: the frame header, and at least 25 bytes for the kind,
     * the tag and length of the group field, and the fixed-length fields of the group.
     */
    private static final int MIN_GROUP_FRAME_BYTES = RecordFraming.HEADER_BYTES + 25;

    private final DiskFile file;
    private final ReadWindow window;
    /** Whether the whole segment was synced, so that an invalid frame in it is damage and not a torn write. */
    private final boolean fullySynced;

    private final boolean sealed;
    /** Whether a later segment states where this segment ends. */
    private final boolean hasCut;
    /** The random number that identifies this segment in its groups and its seal. */
    private final long mark;

    private long nextOffset;
    private long groupEnd;
    private LongArrayList hashes = new LongArrayList();
    private int recordIndex;
    private boolean hashesKnown;
    private long syncedTo = -1;
    private boolean ended;
    private boolean tailLost;

    private long offset;
    private int frameBytes;
    private long hash;
    private Format.Record record;
    private final LongArrayList lostHashes = new LongArrayList();
    private boolean lostUnknownKeys;
    private End end;

    /**
     * Reads the header and checks whether the segment is sealed.
     *
     * @param from the offset of a group at which to start, or 0
     * @param cutOffset the offset at which the segment ends according to a later segment, or {@link #NO_CUT}
     * @param newest whether this is the last segment of the log; only then can its end be torn
     * @throws StoreException if the format version is not supported or the header names another file
     */
    SegmentScan(DiskFile file, SegmentName name, long from, int cutOffset, boolean newest) throws IOException {
        this.file = file;
        long size = file.size();
        hasCut = cutOffset != NO_CUT;
        Format.SegmentHeader header = cutOffset == 0 ? null : FileHeader.read(file, name);
        mark = header == null ? 0 : header.getMark();
        sealed = header != null && !hasCut && isSealed(size);
        long limit = sealed ? size - SEAL_BYTES : hasCut ? Math.min(cutOffset, size) : size;
        window = new ReadWindow(file, limit);
        // a compacted segment is synced before it is renamed to its final name
        fullySynced = sealed || hasCut || !newest || !name.isOriginal();
        nextOffset = Math.max(from, FileHeader.HEADER_BYTES);
        groupEnd = nextOffset;
        tailLost = hasCut && size < cutOffset; // acknowledged bytes are missing
        if (header == null && cutOffset != 0) {
            ended = true;
            end = End.EMPTY;
            offset = 0;
            tailLost = size > FileHeader.HEADER_BYTES || cutOffset > FileHeader.HEADER_BYTES || !newest && !hasCut;
        }
    }

    /** Returns the bytes read so far. */
    long bytesRead() {
        return window.bytesRead();
    }

    boolean sealed() {
        return sealed;
    }

    private boolean isSealed(long size) throws IOException {
        long from = size - SEAL_BYTES;
        if (from < FileHeader.HEADER_BYTES) {
            return false;
        }
        ByteBuffer bytes = ByteBuffer.allocate(SEAL_BYTES);
        file.read(bytes, from);
        ByteBuffer expected = GroupEncoder.seal(mark, (int) from);
        int wrongBits = 0;
        for (int i = 0; i < SEAL_BYTES; i++) {
            wrongBits += Integer.bitCount((bytes.get(i) ^ expected.get(i)) & 0xFF);
        }
        return wrongBits <= MAX_WRONG_SEAL_BITS;
    }

    /** Advances to the next group, record, damage or end; after END, returns END again. */
    Step advance() throws IOException {
        if (ended) {
            return reportLostTailOrEnd();
        }
        if (nextOffset >= window.endOffset()) {
            return reachEnd();
        }
        Format.Record found = readFrame(nextOffset);
        if (nextOffset < groupEnd) {
            return found != null
                            && (found.getKind() != Format.Record.Kind.GROUP)
                            && nextOffset + frameBytes <= groupEnd
                            && (!hashesKnown || recordIndex < hashes.size())
                    ? acceptRecord(found)
                    : skipBadRecord();
        }
        return found != null && isGroup(found, nextOffset) ? acceptGroup(found) : skipBadGroup();
    }

    /** Returns the offset in the file of the last result. */
    long offset() {
        return offset;
    }

    /** Returns the length of the frame that the last step found. */
    int frameBytes() {
        return frameBytes;
    }

    /** Returns the hash of the record's key; 0 if the group's list of hashes is lost or the record has no key. */
    long hash() {
        return hash;
    }

    /** Returns the record that the last step found. */
    Format.Record record() {
        return record;
    }

    /** Returns the hashes of the lost records' keys; the next step overwrites the list. */
    LongArrayList lostHashes() {
        return lostHashes;
    }

    /** Returns whether records of unknown keys were lost. */
    boolean lostUnknownKeys() {
        return lostUnknownKeys;
    }

    /** Returns how the segment ends; null before {@link Step#END}. */
    End end() {
        return end;
    }

    private Step acceptRecord(Format.Record found) {
        offset = nextOffset;
        record = found;
        hash = hashesKnown ? hashes.getLong(recordIndex) : 0;
        recordIndex++;
        nextOffset += frameBytes;
        return Step.RECORD;
    }

    private Step acceptGroup(Format.Record found) {
        offset = nextOffset;
        hashes = new LongArrayList();
        found.getGroup().getHashesList().forEach(hashes::addLong);
        hashesKnown = true;
        recordIndex = 0;
        nextOffset += frameBytes;
        groupEnd = nextOffset + found.getGroup().getLength();
        return Step.GROUP;
    }

    private Step reachEnd() {
        ended = true;
        offset = window.endOffset();
        boolean endsWithinGroup = nextOffset < groupEnd && !hasCut;
        end = sealed ? End.SEALED : hasCut ? End.CUT : endsWithinGroup && !fullySynced ? End.TORN : End.UNSEALED;
        if (!hasCut && fullySynced && (endsWithinGroup || !sealed)) {
            tailLost = true; // the end of the file is missing
        }
        return reportLostTailOrEnd();
    }

    private Step reportLostTailOrEnd() {
        lostHashes.clear();
        lostUnknownKeys = tailLost;
        tailLost = false;
        return lostUnknownKeys ? Step.DAMAGE : Step.END;
    }

    /** Handles an invalid frame within a group; the frames after it may be intact. */
    private Step skipBadRecord() throws IOException {
        if (!wasSynced(nextOffset)) {
            return stopAtTornWrite();
        }
        lostHashes.clear();
        lostUnknownKeys = !hashesKnown;
        offset = nextOffset;
        ByteBuffer head = window.bytesAt(nextOffset, RecordFraming.HEADER_BYTES);
        int bodyLength = head.remaining() < RecordFraming.HEADER_BYTES ? -1 : head.getInt(0);
        long nextFrame = nextOffset + RecordFraming.HEADER_BYTES + bodyLength;
        boolean isLengthValid = bodyLength >= 0
                && bodyLength <= RecordFraming.MAX_BODY_BYTES
                && nextFrame <= groupEnd
                && (nextFrame == groupEnd && recordIndex == hashes.size() - 1
                        || nextFrame < groupEnd && readFrame(nextFrame) != null);
        if (hashesKnown && isLengthValid && recordIndex < hashes.size()) {
            lostHashes.addLong(hashes.getLong(recordIndex));
            recordIndex++;
            nextOffset = nextFrame;
            return Step.DAMAGE;
        }
        for (; hashesKnown && recordIndex < hashes.size(); recordIndex++) {
            lostHashes.addLong(hashes.getLong(recordIndex));
        }
        nextOffset = Math.min(groupEnd, window.endOffset());
        groupEnd = nextOffset;
        return Step.DAMAGE;
    }

    /**
     * Handles an invalid descriptor frame of a group: the records of the group may be intact, but their number and
     * hashes are unknown.
     */
    private Step skipBadGroup() throws IOException {
        if (!wasSynced(nextOffset)) {
            return stopAtTornWrite();
        }
        offset = nextOffset;
        lostHashes.clear();
        ByteBuffer head = window.bytesAt(nextOffset, RecordFraming.HEADER_BYTES);
        int bodyLength = head.remaining() < RecordFraming.HEADER_BYTES ? -1 : head.getInt(0);
        long nextGroup = findNextGroup(nextOffset + 1);
        long firstRecord = nextOffset + RecordFraming.HEADER_BYTES + bodyLength;
        if (bodyLength >= 0
                && bodyLength <= RecordFraming.MAX_BODY_BYTES
                && firstRecord < nextGroup
                && isFrameSequence(firstRecord, nextGroup)) {
            nextOffset = firstRecord;
            groupEnd = nextGroup;
            hashesKnown = false;
            return advance();
        }
        lostUnknownKeys = true;
        nextOffset = nextGroup;
        groupEnd = nextGroup;
        return Step.DAMAGE;
    }

    private Step stopAtTornWrite() {
        ended = true;
        end = End.TORN;
        offset = nextOffset;
        return Step.END;
    }

    /** Returns whether the bytes between two offsets are complete frames, none of which describes a group. */
    private boolean isFrameSequence(long start, long endOffset) throws IOException {
        long position = start;
        while (position < endOffset) {
            Format.Record found = readFrame(position);
            if (found == null || found.getKind() == Format.Record.Kind.GROUP) {
                return false;
            }
            position += frameBytes;
        }
        return position == endOffset;
    }

    /** Returns whether the bytes at an offset were synced before a later group was written. */
    private boolean wasSynced(long position) throws IOException {
        if (fullySynced) {
            return true;
        }
        if (syncedTo < 0) {
            syncedTo = 0;
            for (long group = findNextGroup(position + 1);
                    group < window.endOffset();
                    group = findNextGroup(group + 1)) {
                syncedTo = Math.max(syncedTo, readFrame(group).getGroup().getSynced());
            }
        }
        return position < syncedTo;
    }

    /** Returns the offset of the next intact frame that describes a group, or the end. */
    private long findNextGroup(long from) throws IOException {
        for (long position = from; position + MIN_GROUP_FRAME_BYTES <= window.endOffset(); position++) {
            ByteBuffer head = window.bytesAt(position, MIN_GROUP_FRAME_BYTES);
            int bodyLength = head.getInt(0);
            if (bodyLength >= MIN_GROUP_FRAME_BYTES - RecordFraming.HEADER_BYTES
                    && bodyLength <= RecordFraming.MAX_BODY_BYTES
                    && head.get(RecordFraming.HEADER_BYTES) == 8
                    && head.get(RecordFraming.HEADER_BYTES + 1) == Format.Record.Kind.GROUP_VALUE) {
                Format.Record found = readFrame(position);
                if (found != null && isGroup(found, position)) {
                    return position;
                }
            }
        }
        return window.endOffset();
    }

    private boolean isGroup(Format.Record found, long position) {
        return found.getKind() == Format.Record.Kind.GROUP
                && found.getGroup().getMark() == mark
                && Integer.toUnsignedLong(found.getGroup().getAt()) == position;
    }

    /** Reads the record at an offset and sets {@link #frameBytes()}; returns null if the frame is invalid. */
    private Format.Record readFrame(long position) throws IOException {
        ByteBuffer head = window.bytesAt(position, RecordFraming.HEADER_BYTES);
        if (head.remaining() < RecordFraming.HEADER_BYTES) {
            return null;
        }
        int bodyLength = head.getInt(0);
        if (bodyLength < 0
                || bodyLength > RecordFraming.MAX_BODY_BYTES
                || position + RecordFraming.HEADER_BYTES + bodyLength > window.endOffset()) {
            return null;
        }
        ByteBuffer[] body = new ByteBuffer[1];
        if (RecordFraming.read(window.bytesAt(position, RecordFraming.HEADER_BYTES + bodyLength), body)
                != RecordFraming.Found.COMPLETE) {
            return null;
        }
        frameBytes = RecordFraming.frameBytes(bodyLength);
        return parse(body[0]);
    }

    private static Format.Record parse(ByteBuffer body) {
        try {
            return Format.Record.parseFrom(body);
        } catch (InvalidProtocolBufferException e) {
            return null;
        }
    }
}

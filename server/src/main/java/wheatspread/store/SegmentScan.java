package wheatspread.store;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.agrona.collections.LongArrayList;
import wheatspread.disk.DiskFile;

/**
 * Reads one segment from an offset to its end, step by step, and distinguishes a torn write from damage. Each
 * group states up to which offset the file was synced when the group was written: a bad frame before that
 * offset is damage to an acknowledged write; a bad frame behind it is a torn write that was never acknowledged.
 *
 * <p>For one thread. It does not own the file and does not close it.
 */
final class SegmentScan {
    /** What the next step found; the fields are set accordingly. */
    enum Step {
        /** A group starts at {@link #offset()}. */
        GROUP,
        /**
         * {@link #record()} with {@link #hash()} stands at {@link #offset()}, a frame of {@link #frameBytes()}
         * bytes.
         */
        RECORD,
        /** Records with {@link #lostHashes()} hashes, or any if {@link #lostAll()}, stood from {@link #offset()} on. */
        DAMAGE,
        /** Nothing follows; {@link #end()} states how it ends. */
        END
    }

    /** How a segment ends. */
    enum End {
        /** With its seal: it is complete. */
        SEALED,
        /** At the offset that a later segment states. */
        CUT,
        /** After a complete group, without a seal. */
        UNSEALED,
        /** Within a write that was never acknowledged, from {@link SegmentScan#offset()} on. */
        TORN,
        /** It was never used: its header is incomplete, and nothing follows it. */
        EMPTY
    }

    /** No later segment states where this one ends. */
    static final int NO_CUT = -1;

    private static final int SEAL_BYTES = GroupEncoder.seal(1, 1).remaining();
    /** A seal holds nothing that could be lost: with so many wrong bits it can still be nothing else. */
    private static final int MAX_WRONG_SEAL_BITS = 8;
    /** Bytes between the start of a group's frame and its mark: head, kind, tag and length, tag. */
    private static final int MIN_GROUP_FRAME_BYTES = RecordFraming.HEADER_BYTES + 25;

    private final DiskFile file;
    private final ReadWindow window;
    private final boolean durable;
    private final boolean sealed;
    private final boolean cut;
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
    private boolean lostAll;
    private End end;

    /**
     * Begins.
     *
     * @param from the start of a group, or 0
     * @param cut where the segment ends according to a later one, or {@link #NO_CUT}
     * @param newest whether no segment is behind this one: only then can its end be torn
     * @throws StoreException if the file's version is unknown or its name is another file's
     */
    SegmentScan(DiskFile file, SegmentName name, long from, int cut, boolean newest) throws IOException {
        this.file = file;
        long size = file.size();
        this.cut = cut != NO_CUT;
        Format.SegmentHeader header = cut == 0 ? null : FileHeader.read(file, name);
        mark = header == null ? 0 : header.getMark();
        sealed = header != null && !this.cut && isSealed(size);
        long limit = sealed ? size - SEAL_BYTES : this.cut ? Math.min(cut, size) : size;
        window = new ReadWindow(file, limit);
        // a rewritten file is synced before it has its name
        durable = sealed || this.cut || !newest || !name.isOriginal();
        nextOffset = Math.max(from, FileHeader.HEADER_BYTES);
        groupEnd = nextOffset;
        tailLost = this.cut && size < cut; // acknowledged once, and not there
        if (header == null && cut != 0) {
            ended = true;
            end = End.EMPTY;
            offset = 0;
            tailLost = size > FileHeader.HEADER_BYTES || cut > FileHeader.HEADER_BYTES || !newest && !this.cut;
        }
    }

    /** Bytes read so far. */
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
        int wrong = 0;
        for (int i = 0; i < SEAL_BYTES; i++) {
            wrong += Integer.bitCount((bytes.get(i) ^ expected.get(i)) & 0xFF);
        }
        return wrong <= MAX_WRONG_SEAL_BITS;
    }

    /** Advances to the next group, record, damage or end; after END it returns END again. */
    Step nextOffset() throws IOException {
        if (ended) {
            return endOrLoss();
        }
        if (nextOffset >= window.endOffset()) {
            return atEnd();
        }
        Format.Record found = readFrame(nextOffset);
        if (nextOffset < groupEnd) {
            return found != null
                            && (found.getKind() != Format.Record.Kind.GROUP)
                            && nextOffset + frameBytes <= groupEnd
                            && (!hashesKnown || recordIndex < hashes.size())
                    ? recordStep(found)
                    : badRecord();
        }
        return found != null && isGroup(found, nextOffset) ? groupStep(found) : badGroup();
    }

    /** The offset in the file of what the last step found. */
    long offset() {
        return offset;
    }

    /** The length of the frame that the last step found. */
    int frameBytes() {
        return frameBytes;
    }

    /** The hash of the found record's key; 0 if its group's list of hashes is lost or it has no key. */
    long hash() {
        return hash;
    }

    /** The record that the last step found. */
    Format.Record record() {
        return record;
    }

    /** The hashes of the lost records' keys; changed by the next step. */
    LongArrayList lostHashes() {
        return lostHashes;
    }

    /** Whether records of keys that are not known were lost. */
    boolean lostAll() {
        return lostAll;
    }

    /** How the segment ends; null before {@link Step#END}. */
    End end() {
        return end;
    }

    private Step recordStep(Format.Record found) {
        offset = nextOffset;
        record = found;
        hash = hashesKnown ? hashes.getLong(recordIndex) : 0;
        recordIndex++;
        nextOffset += frameBytes;
        return Step.RECORD;
    }

    private Step groupStep(Format.Record found) {
        offset = nextOffset;
        hashes = new LongArrayList();
        found.getGroup().getHashesList().forEach(hashes::addLong);
        hashesKnown = true;
        recordIndex = 0;
        nextOffset += frameBytes;
        groupEnd = nextOffset + found.getGroup().getLength();
        return Step.GROUP;
    }

    private Step atEnd() {
        ended = true;
        offset = window.endOffset();
        boolean within = nextOffset < groupEnd && !cut;
        end = sealed ? End.SEALED : cut ? End.CUT : within && !durable ? End.TORN : End.UNSEALED;
        if (!cut && durable && (within || !sealed)) {
            tailLost = true; // the rest of the file is gone
        }
        return endOrLoss();
    }

    private Step endOrLoss() {
        lostHashes.clear();
        lostAll = tailLost;
        tailLost = false;
        return lostAll ? Step.DAMAGE : Step.END;
    }

    /** A bad frame within a group: what follows may be complete. */
    private Step badRecord() throws IOException {
        if (!wasDurable(nextOffset)) {
            return torn();
        }
        lostHashes.clear();
        lostAll = !hashesKnown;
        offset = nextOffset;
        ByteBuffer head = window.bytesAt(nextOffset, RecordFraming.HEADER_BYTES);
        int bodyLength = head.remaining() < RecordFraming.HEADER_BYTES ? -1 : head.getInt(0);
        long behind = nextOffset + RecordFraming.HEADER_BYTES + bodyLength;
        boolean lengthHolds = bodyLength >= 0
                && bodyLength <= RecordFraming.MAX_BODY_BYTES
                && behind <= groupEnd
                && (behind == groupEnd && recordIndex == hashes.size() - 1
                        || behind < groupEnd && readFrame(behind) != null);
        if (hashesKnown && lengthHolds && recordIndex < hashes.size()) {
            lostHashes.addLong(hashes.getLong(recordIndex));
            recordIndex++;
            nextOffset = behind;
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
     * The frame that describes a group is bad: its records may be complete, but their number and hashes are
     * unknown.
     */
    private Step badGroup() throws IOException {
        if (!wasDurable(nextOffset)) {
            return torn();
        }
        offset = nextOffset;
        lostHashes.clear();
        ByteBuffer head = window.bytesAt(nextOffset, RecordFraming.HEADER_BYTES);
        int bodyLength = head.remaining() < RecordFraming.HEADER_BYTES ? -1 : head.getInt(0);
        long until = findNextGroup(nextOffset + 1);
        long first = nextOffset + RecordFraming.HEADER_BYTES + bodyLength;
        if (bodyLength >= 0
                && bodyLength <= RecordFraming.MAX_BODY_BYTES
                && first < until
                && isFrameSequence(first, until)) {
            nextOffset = first;
            groupEnd = until;
            hashesKnown = false;
            return nextOffset();
        }
        lostAll = true;
        nextOffset = until;
        groupEnd = until;
        return Step.DAMAGE;
    }

    private Step torn() {
        ended = true;
        end = End.TORN;
        offset = nextOffset;
        return Step.END;
    }

    /** Whether complete frames, none of them a group's, fill the space between two offsets exactly. */
    private boolean isFrameSequence(long from, long to) throws IOException {
        long place = from;
        while (place < to) {
            Format.Record found = readFrame(place);
            if (found == null || found.getKind() == Format.Record.Kind.GROUP) {
                return false;
            }
            place += frameBytes;
        }
        return place == to;
    }

    /** Whether the bytes at an offset were synced before something after them was written. */
    private boolean wasDurable(long place) throws IOException {
        if (durable) {
            return true;
        }
        if (syncedTo < 0) {
            syncedTo = 0;
            for (long group = findNextGroup(place + 1); group < window.endOffset(); group = findNextGroup(group + 1)) {
                syncedTo = Math.max(syncedTo, readFrame(group).getGroup().getSynced());
            }
        }
        return place < syncedTo;
    }

    /** The offset of the next complete frame of a group, or the end. */
    private long findNextGroup(long from) throws IOException {
        for (long place = from; place + MIN_GROUP_FRAME_BYTES <= window.endOffset(); place++) {
            ByteBuffer head = window.bytesAt(place, MIN_GROUP_FRAME_BYTES);
            int bodyLength = head.getInt(0);
            if (bodyLength >= MIN_GROUP_FRAME_BYTES - RecordFraming.HEADER_BYTES
                    && bodyLength <= RecordFraming.MAX_BODY_BYTES
                    && head.get(RecordFraming.HEADER_BYTES) == 8
                    && head.get(RecordFraming.HEADER_BYTES + 1) == Format.Record.Kind.GROUP_VALUE) {
                Format.Record found = readFrame(place);
                if (found != null && isGroup(found, place)) {
                    return place;
                }
            }
        }
        return window.endOffset();
    }

    private boolean isGroup(Format.Record found, long place) {
        return found.getKind() == Format.Record.Kind.GROUP
                && found.getGroup().getMark() == mark
                && Integer.toUnsignedLong(found.getGroup().getAt()) == place;
    }

    /** The record whose frame is complete at an offset, with {@link #frameBytes()} set; null if none does. */
    private Format.Record readFrame(long place) throws IOException {
        ByteBuffer head = window.bytesAt(place, RecordFraming.HEADER_BYTES);
        if (head.remaining() < RecordFraming.HEADER_BYTES) {
            return null;
        }
        int bodyLength = head.getInt(0);
        if (bodyLength < 0
                || bodyLength > RecordFraming.MAX_BODY_BYTES
                || place + RecordFraming.HEADER_BYTES + bodyLength > window.endOffset()) {
            return null;
        }
        ByteBuffer[] body = new ByteBuffer[1];
        if (RecordFraming.read(window.bytesAt(place, RecordFraming.HEADER_BYTES + bodyLength), body)
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

package wheatspread.store;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.agrona.collections.LongArrayList;
import wheatspread.disk.DiskFile;

/**
 * Reads one segment from a place to its end, step by step, and tells what a crash left from what was
 * damaged. A group is written only when all before it is on the disk (or says up to where): a bad place
 * before that was written once, and so is damage; a bad place behind it is a torn write that was never
 * acknowledged.
 */
final class SegmentScan {
    /** What the next step found; the fields are set accordingly. */
    enum Step {
        /** A group begins at {@link #at}. */
        GROUP,
        /** {@link #record} with {@link #hash} stands at {@link #at}, a frame of {@link #length} bytes. */
        RECORD,
        /** Records with {@link #lost} hashes, or any if {@link #lostAll}, stood from {@link #at} on. */
        DAMAGE,
        /** Nothing follows; {@link #end} says how it ends. */
        END
    }

    /** How a segment ends. */
    enum End {
        /** With its seal: it is complete. */
        SEALED,
        /** Where a later segment says that it is cut. */
        CUT,
        /** Behind a whole group, without a seal. */
        OPEN,
        /** Within a write that was never acknowledged, from {@link SegmentScan#at} on. */
        TORN,
        /** It was never begun: its header is not whole, and nothing is behind it. */
        VOID
    }

    /** Nothing says where the segment is cut. */
    static final int UNCUT = -1;

    private static final int SEAL_SIZE = GroupEncoder.seal(1, 1).remaining();
    /** A seal holds nothing that could be lost: with so many wrong bits it can still be nothing else. */
    private static final int SEAL_TOLERANCE = 8;
    /** Bytes between the begin of a group's frame and its mark: head, kind, tag and length, tag. */
    private static final int SMALLEST_GROUP = RecordFraming.HEAD + 25;

    private final DiskFile file;
    private final ReadWindow window;
    private final boolean durable;
    private final boolean sealed;
    private final boolean cut;
    private final long mark;
    private long next;
    private long groupEnd;
    private LongArrayList hashes = new LongArrayList();
    private int index;
    private boolean hashesKnown;
    private long syncedTo = -1;
    private boolean ended;
    private boolean tailLost;

    long at;
    int length;
    long hash;
    Format.Record record;
    final LongArrayList lost = new LongArrayList();
    boolean lostAll;
    End end;

    /**
     * Begins.
     *
     * @param from the begin of a group, or 0
     * @param cut where the segment ends by the word of a later one, or {@link #UNCUT}
     * @param newest whether no segment is behind this one: only then can its end be torn
     * @throws StoreException if the file's version is unknown or its name is another file's
     */
    SegmentScan(DiskFile file, SegmentName name, long from, int cut, boolean newest) throws IOException {
        this.file = file;
        long size = file.size();
        this.cut = cut != UNCUT;
        Format.SegmentHeader header = cut == 0 ? null : FileHeader.read(file, name);
        mark = header == null ? 0 : header.getMark();
        sealed = header != null && !this.cut && isSealed(size);
        long limit = sealed ? size - SEAL_SIZE : this.cut ? Math.min(cut, size) : size;
        window = new ReadWindow(file, limit);
        // a rewritten file is synced before it has its name
        durable = sealed || this.cut || !newest || !name.isOriginal();
        next = Math.max(from, FileHeader.SIZE);
        groupEnd = next;
        tailLost = this.cut && size < cut; // acknowledged once, and not there
        if (header == null && cut != 0) {
            ended = true;
            end = End.VOID;
            at = 0;
            tailLost = size > FileHeader.SIZE || cut > FileHeader.SIZE || !newest && !this.cut;
        }
    }

    /** Bytes read so far. */
    long read() {
        return window.read();
    }

    boolean sealed() {
        return sealed;
    }

    private boolean isSealed(long size) throws IOException {
        long from = size - SEAL_SIZE;
        if (from < FileHeader.SIZE) {
            return false;
        }
        ByteBuffer bytes = ByteBuffer.allocate(SEAL_SIZE);
        file.read(bytes, from);
        ByteBuffer whole = GroupEncoder.seal(mark, (int) from);
        int wrong = 0;
        for (int i = 0; i < SEAL_SIZE; i++) {
            wrong += Integer.bitCount((bytes.get(i) ^ whole.get(i)) & 0xFF);
        }
        return wrong <= SEAL_TOLERANCE;
    }

    /** Goes on to the next thing; behind END it stays there. */
    Step next() throws IOException {
        if (ended) {
            return endOrLoss();
        }
        if (next >= window.end()) {
            return atEnd();
        }
        Format.Record found = frame(next);
        if (next < groupEnd) {
            return found != null
                            && (found.getKind() != Format.Record.Kind.GROUP)
                            && next + length <= groupEnd
                            && (!hashesKnown || index < hashes.size())
                    ? one(found)
                    : badRecord();
        }
        return found != null && isGroup(found, next) ? group(found) : badGroup();
    }

    private Step one(Format.Record found) {
        at = next;
        record = found;
        hash = hashesKnown ? hashes.getLong(index) : 0;
        index++;
        next += length;
        return Step.RECORD;
    }

    private Step group(Format.Record found) {
        at = next;
        hashes = new LongArrayList();
        found.getGroup().getHashesList().forEach(hashes::addLong);
        hashesKnown = true;
        index = 0;
        next += length;
        groupEnd = next + found.getGroup().getLength();
        return Step.GROUP;
    }

    private Step atEnd() {
        ended = true;
        at = window.end();
        boolean within = next < groupEnd && !cut;
        end = sealed ? End.SEALED : cut ? End.CUT : within && !durable ? End.TORN : End.OPEN;
        if (!cut && durable && (within || !sealed)) {
            tailLost = true; // the rest of the file is gone
        }
        return endOrLoss();
    }

    private Step endOrLoss() {
        lost.clear();
        lostAll = tailLost;
        tailLost = false;
        return lostAll ? Step.DAMAGE : Step.END;
    }

    /** A bad frame within a group: what follows may be whole. */
    private Step badRecord() throws IOException {
        if (!wasDurable(next)) {
            return torn();
        }
        lost.clear();
        lostAll = !hashesKnown;
        at = next;
        ByteBuffer head = window.at(next, RecordFraming.HEAD);
        int told = head.remaining() < RecordFraming.HEAD ? -1 : head.getInt(0);
        long behind = next + RecordFraming.HEAD + told;
        boolean lengthHolds = told >= 0
                && told <= RecordFraming.LONGEST
                && behind <= groupEnd
                && (behind == groupEnd && index == hashes.size() - 1 || behind < groupEnd && frame(behind) != null);
        if (hashesKnown && lengthHolds && index < hashes.size()) {
            lost.addLong(hashes.getLong(index));
            index++;
            next = behind;
            return Step.DAMAGE;
        }
        for (; hashesKnown && index < hashes.size(); index++) {
            lost.addLong(hashes.getLong(index));
        }
        next = Math.min(groupEnd, window.end());
        groupEnd = next;
        return Step.DAMAGE;
    }

    /** The frame that begins a group is bad: its records may be whole, though nobody says which they were. */
    private Step badGroup() throws IOException {
        if (!wasDurable(next)) {
            return torn();
        }
        at = next;
        lost.clear();
        ByteBuffer head = window.at(next, RecordFraming.HEAD);
        int told = head.remaining() < RecordFraming.HEAD ? -1 : head.getInt(0);
        long until = nextGroup(next + 1);
        long first = next + RecordFraming.HEAD + told;
        if (told >= 0 && told <= RecordFraming.LONGEST && first < until && chain(first, until)) {
            next = first;
            groupEnd = until;
            hashesKnown = false;
            return next();
        }
        lostAll = true;
        next = until;
        groupEnd = until;
        return Step.DAMAGE;
    }

    private Step torn() {
        ended = true;
        end = End.TORN;
        at = next;
        return Step.END;
    }

    /** Whether whole frames without a group among them lead from one place exactly to another. */
    private boolean chain(long from, long to) throws IOException {
        long place = from;
        while (place < to) {
            Format.Record found = frame(place);
            if (found == null || found.getKind() == Format.Record.Kind.GROUP) {
                return false;
            }
            place += length;
        }
        return place == to;
    }

    /** Whether what stands there was on the disk when something behind it was written. */
    private boolean wasDurable(long place) throws IOException {
        if (durable) {
            return true;
        }
        if (syncedTo < 0) {
            syncedTo = 0;
            for (long group = nextGroup(place + 1); group < window.end(); group = nextGroup(group + 1)) {
                syncedTo = Math.max(syncedTo, frame(group).getGroup().getSynced());
            }
        }
        return place < syncedTo;
    }

    /** Where the next whole frame of a group stands, or the end. */
    private long nextGroup(long from) throws IOException {
        for (long place = from; place + SMALLEST_GROUP <= window.end(); place++) {
            ByteBuffer head = window.at(place, SMALLEST_GROUP);
            int told = head.getInt(0);
            if (told >= SMALLEST_GROUP - RecordFraming.HEAD
                    && told <= RecordFraming.LONGEST
                    && head.get(RecordFraming.HEAD) == 8
                    && head.get(RecordFraming.HEAD + 1) == Format.Record.Kind.GROUP_VALUE) {
                Format.Record found = frame(place);
                if (found != null && isGroup(found, place)) {
                    return place;
                }
            }
        }
        return window.end();
    }

    private boolean isGroup(Format.Record found, long place) {
        return found.getKind() == Format.Record.Kind.GROUP
                && found.getGroup().getMark() == mark
                && Integer.toUnsignedLong(found.getGroup().getAt()) == place;
    }

    /** The record whose frame stands whole at a place, with {@link #length} set; null if none does. */
    private Format.Record frame(long place) throws IOException {
        ByteBuffer head = window.at(place, RecordFraming.HEAD);
        if (head.remaining() < RecordFraming.HEAD) {
            return null;
        }
        int told = head.getInt(0);
        if (told < 0 || told > RecordFraming.LONGEST || place + RecordFraming.HEAD + told > window.end()) {
            return null;
        }
        ByteBuffer[] body = new ByteBuffer[1];
        if (RecordFraming.read(window.at(place, RecordFraming.HEAD + told), body) != RecordFraming.Found.WHOLE) {
            return null;
        }
        length = RecordFraming.sizeOf(told);
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

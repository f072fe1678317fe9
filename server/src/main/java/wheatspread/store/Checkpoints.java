package wheatspread.store;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.agrona.collections.LongArrayList;
import wheatspread.disk.Disk;
import wheatspread.disk.DiskFile;

/**
 * Reads and frames checkpoint files, which hold the index as of one place of the log. A checkpoint that is
 * incomplete or damaged is ignored, since the log contains everything. Stateless.
 */
final class Checkpoints {
    static final int VERSION = 1;
    private static final byte[] MAGIC = "wheatchk".getBytes(StandardCharsets.US_ASCII);
    private static final int PREAMBLE_BYTES = 16;
    private static final int STALE_ID_BASE = 1 << 30;

    private Checkpoints() {}

    static ByteBuffer preamble() {
        return ByteBuffer.allocate(PREAMBLE_BYTES)
                .put(MAGIC)
                .putInt(VERSION)
                .putInt(0)
                .flip();
    }

    /** One frame of a checkpoint; the last one is followed by its size in 4 bytes. */
    static ByteBuffer frame(Format.CheckpointFrame frame, boolean last) {
        ByteBuffer bytes = ByteBuffer.allocate(RecordFraming.frameBytes(frame.getSerializedSize()) + (last ? 4 : 0));
        RecordFraming.write(ByteBuffer.wrap(frame.toByteArray()), bytes);
        if (last) {
            bytes.putInt(bytes.position());
        }
        return bytes.flip();
    }

    /** What is known of a file that is not read again. */
    record KnownSegment(long latestExpiryMs, long records, int cut) {}

    /** The seed of a checkpoint, for a store in which no segment has a readable header. */
    static long seedOf(Disk disk, String name, LongSupplier otherwise) throws IOException {
        try (DiskFile file = disk.open(name)) {
            ReadWindow window = new ReadWindow(file, file.size());
            Format.CheckpointFrame head = hasPreamble(window) ? read(window, PREAMBLE_BYTES) : null;
            return head != null && head.hasHead() ? head.getHead().getSeed() : otherwise.getAsLong();
        }
    }

    private static boolean hasPreamble(ReadWindow window) throws IOException {
        return window.bytesAt(0, PREAMBLE_BYTES).remaining() >= PREAMBLE_BYTES
                && window.bytesAt(0, PREAMBLE_BYTES).slice(0, PREAMBLE_BYTES).equals(preamble());
    }

    /** The frame at a place, or null. */
    private static Format.CheckpointFrame read(ReadWindow window, long at) throws IOException {
        ByteBuffer head = window.bytesAt(at, RecordFraming.HEADER_BYTES);
        if (head.remaining() < RecordFraming.HEADER_BYTES
                || head.getInt(0) < 0
                || head.getInt(0) > RecordFraming.MAX_BODY_BYTES) {
            return null;
        }
        ByteBuffer[] body = new ByteBuffer[1];
        if (RecordFraming.read(window.bytesAt(at, RecordFraming.HEADER_BYTES + head.getInt(0)), body)
                != RecordFraming.Found.COMPLETE) {
            return null;
        }
        try {
            return Format.CheckpointFrame.parseFrom(body[0]);
        } catch (InvalidProtocolBufferException e) {
            return null;
        }
    }

    /** Fills the index of a catalog, which must be empty; null if the checkpoint does not hold. */
    static Loaded load(Disk disk, String name, SegmentCatalog into) throws IOException {
        try (DiskFile file = disk.open(name)) {
            long size = file.size();
            ByteBuffer tail = ByteBuffer.allocate(4);
            file.read(tail, Math.max(0, size - 4));
            ReadWindow window = new ReadWindow(file, size - 4);
            if (size < PREAMBLE_BYTES + 4 || !hasPreamble(window)) {
                return null;
            }
            long endAt = size - 4 - Integer.toUnsignedLong(tail.getInt(0));
            Format.CheckpointFrame end = endAt >= PREAMBLE_BYTES ? read(window, endAt) : null;
            Format.CheckpointFrame head = read(window, PREAMBLE_BYTES);
            if (end == null
                    || !end.hasEnd()
                    || head == null
                    || !head.hasHead()
                    || head.getHead().getSeed() != into.seed()) {
                return null;
            }
            Loaded loaded = new Loaded(head.getHead(), into);
            if (!loaded.files(end.getEnd())) {
                return null;
            }
            // an entry takes 28 bytes here, so that no wrong number asks for more than the file has
            into.index().reserve((int) Math.min(end.getEnd().getEntries(), size / 28));
            long entries = 0;
            long at = PREAMBLE_BYTES + RecordFraming.frameBytes(head.getSerializedSize());
            while (at < endAt) {
                Format.CheckpointFrame some = read(window, at);
                if (some == null || !some.hasEntries()) {
                    return null;
                }
                entries += some.getEntries().getHashesCount();
                if (!loaded.entries(some.getEntries(), into.index())) {
                    return null;
                }
                at += RecordFraming.frameBytes(some.getSerializedSize());
            }
            into.suspectedLosses().load(end.getEnd());
            return at == endAt && entries == end.getEnd().getEntries() ? loaded : null;
        }
    }

    /** A checkpoint whose entries are in the index. */
    static final class Loaded {
        private final int segment;
        private final int offset;
        private final SegmentCatalog catalog;
        private final Map<SegmentName, KnownSegment> known = new HashMap<>();
        private final Map<Integer, SegmentName> names = new HashMap<>();
        private final Map<Integer, Integer> ids = new HashMap<>();
        private final Set<Integer> stale = new HashSet<>();

        private Loaded(Format.CheckpointHead head, SegmentCatalog catalog) {
            segment = head.getSegment();
            offset = head.getOffset();
            this.catalog = catalog;
        }

        /** Finds today's files; false if one is gone or too short. */
        private boolean files(Format.CheckpointEnd end) {
            for (Format.CheckpointEnd.File file : end.getFilesList()) {
                SegmentName name = SegmentName.parse(file.getName());
                Segment now = null;
                for (Segment one : catalog.chain()) {
                    if (one.name().equals(name) || name != null && one.name().replaces(name)) {
                        now = one;
                    }
                }
                if (now == null) {
                    return false;
                }
                names.put(file.getId(), name);
                if (now.name().equals(name)) {
                    ids.put(file.getId(), now.id());
                    known.put(
                            name,
                            new KnownSegment(
                                    file.getLatestExpiryMs(),
                                    file.getRecords(),
                                    file.hasCut() ? file.getCut() : SegmentScan.NO_CUT));
                    if (name.first() == segment && now.validBytes() < offset) {
                        return false;
                    }
                } else {
                    ids.put(file.getId(), STALE_ID_BASE + now.id());
                    stale.add(now.id());
                }
            }
            return true;
        }

        private boolean entries(Format.CheckpointEntries some, Index index) {
            int count = some.getHashesCount();
            if (some.getFilesCount() != count
                    || some.getOffsetsCount() != count
                    || some.getLengthsCount() != count
                    || some.getExpiriesCount() != count) {
                return false;
            }
            for (int i = 0; i < count; i++) {
                SegmentName name = names.get(some.getFiles(i));
                if (name == null) {
                    return false;
                }
                // newer entries are replayed from the log, whose records may be damaged
                if (SuspectedLosses.compare(name.first(), some.getOffsets(i), segment, offset) < 0) {
                    index.add(
                            some.getHashes(i),
                            Index.location(ids.get(some.getFiles(i)), some.getOffsets(i)),
                            some.getLengths(i),
                            some.getExpiries(i));
                }
            }
            return true;
        }

        int offset() {
            return offset;
        }

        KnownSegment known(SegmentName name) {
            return known.get(name);
        }

        /** Whether a file need not be read. */
        boolean covers(SegmentName name) {
            return known.containsKey(name) && name.last() < segment;
        }

        /** Whether all that a rewritten file holds stood before the checkpoint's place. */
        boolean precedesCheckpoint(SegmentName name) {
            return name.last() < segment;
        }

        /** Whether entries point to files that this one was written in place of. */
        boolean isStale(Segment one) {
            return stale.contains(one.id());
        }

        /**
         * Points an entry of this hash to where compaction has moved its record. Which one of several does
         * not matter: each is moved, or taken away in the end.
         */
        boolean repoint(Index index, Segment now, long hash, long to, int length, int expiry) {
            long[] from = new long[1];
            index.find(hash, (h, at, l, e) -> from[0] = Index.file(at) == STALE_ID_BASE + now.id() ? at : from[0]);
            return from[0] != 0 && index.move(hash, from[0], to, length, expiry);
        }

        /** Takes away what still points to a file that is gone: compaction found it dead. */
        void removeStaleEntries(Index index) {
            if (stale.isEmpty()) {
                return;
            }
            for (int table = 0; table < Index.TABLES; table++) {
                LongArrayList gone = new LongArrayList();
                index.copy(table, (hash, at, length, expiry) -> {
                    if (Index.file(at) >= STALE_ID_BASE) {
                        gone.addLong(hash);
                        gone.addLong(at);
                    }
                });
                for (int i = 0; i < gone.size(); i += 2) {
                    index.remove(gone.getLong(i), gone.getLong(i + 1));
                }
            }
        }
    }
}

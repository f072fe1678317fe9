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
 * Reads and frames checkpoint files, which contain the index as of one position in the log. A checkpoint that is
 * incomplete or damaged is ignored, since the log contains everything. Stateless.
 */
final class Checkpoints {
    static final int VERSION = 1;
    private static final byte[] MAGIC = "wheatchk".getBytes(StandardCharsets.US_ASCII);
    private static final int PREAMBLE_BYTES = 16;
    /** Added to the segment id of stale entries, which point to a segment that compaction has replaced. */
    private static final int STALE_ID_BASE = 1 << 30;

    private Checkpoints() {}

    static ByteBuffer preamble() {
        return ByteBuffer.allocate(PREAMBLE_BYTES)
                .put(MAGIC)
                .putInt(VERSION)
                .putInt(0)
                .flip();
    }

    /** Encodes a frame of a checkpoint; the last frame is followed by its size in 4 bytes. */
    static ByteBuffer frame(Format.CheckpointFrame frame, boolean last) {
        ByteBuffer bytes = ByteBuffer.allocate(RecordFraming.frameBytes(frame.getSerializedSize()) + (last ? 4 : 0));
        RecordFraming.write(ByteBuffer.wrap(frame.toByteArray()), bytes);
        if (last) {
            bytes.putInt(bytes.position());
        }
        return bytes.flip();
    }

    /** Metadata of a segment that the checkpoint recorded, so that the file need not be read again. */
    record KnownSegment(long latestExpiryMs, long records, int cut) {}

    /** Returns the hash seed of a checkpoint, for a store without a readable segment header. */
    static long seedOf(Disk disk, String name, LongSupplier fallback) throws IOException {
        try (DiskFile file = disk.open(name)) {
            ReadWindow window = new ReadWindow(file, file.size());
            Format.CheckpointFrame head = hasPreamble(window) ? readFrame(window, PREAMBLE_BYTES) : null;
            return head != null && head.hasHead() ? head.getHead().getSeed() : fallback.getAsLong();
        }
    }

    private static boolean hasPreamble(ReadWindow window) throws IOException {
        return window.bytesAt(0, PREAMBLE_BYTES).remaining() >= PREAMBLE_BYTES
                && window.bytesAt(0, PREAMBLE_BYTES).slice(0, PREAMBLE_BYTES).equals(preamble());
    }

    /** Reads the frame at an offset; returns null if it is incomplete or damaged. */
    private static Format.CheckpointFrame readFrame(ReadWindow window, long position) throws IOException {
        ByteBuffer head = window.bytesAt(position, RecordFraming.HEADER_BYTES);
        if (head.remaining() < RecordFraming.HEADER_BYTES
                || head.getInt(0) < 0
                || head.getInt(0) > RecordFraming.MAX_BODY_BYTES) {
            return null;
        }
        ByteBuffer[] body = new ByteBuffer[1];
        if (RecordFraming.read(window.bytesAt(position, RecordFraming.HEADER_BYTES + head.getInt(0)), body)
                != RecordFraming.Found.COMPLETE) {
            return null;
        }
        try {
            return Format.CheckpointFrame.parseFrom(body[0]);
        } catch (InvalidProtocolBufferException e) {
            return null;
        }
    }

    /** Fills the empty index of a catalog; returns null if the checkpoint is incomplete, damaged or does not match. */
    static Loaded load(Disk disk, String name, SegmentCatalog catalog) throws IOException {
        try (DiskFile file = disk.open(name)) {
            long size = file.size();
            ByteBuffer tail = ByteBuffer.allocate(4);
            file.read(tail, Math.max(0, size - 4));
            ReadWindow window = new ReadWindow(file, size - 4);
            if (size < PREAMBLE_BYTES + 4 || !hasPreamble(window)) {
                return null;
            }
            long endOffset = size - 4 - Integer.toUnsignedLong(tail.getInt(0));
            Format.CheckpointFrame end = endOffset >= PREAMBLE_BYTES ? readFrame(window, endOffset) : null;
            Format.CheckpointFrame head = readFrame(window, PREAMBLE_BYTES);
            if (end == null
                    || !end.hasEnd()
                    || head == null
                    || !head.hasHead()
                    || head.getHead().getSeed() != catalog.seed()) {
                return null;
            }
            Loaded loaded = new Loaded(head.getHead(), catalog);
            if (!loaded.resolveSegments(end.getEnd())) {
                return null;
            }
            // an entry takes 28 bytes of the file, which bounds the allocation if the count is wrong
            catalog.index().reserve((int) Math.min(end.getEnd().getEntries(), size / 28));
            long entries = 0;
            long position = PREAMBLE_BYTES + RecordFraming.frameBytes(head.getSerializedSize());
            while (position < endOffset) {
                Format.CheckpointFrame frame = readFrame(window, position);
                if (frame == null || !frame.hasEntries()) {
                    return null;
                }
                entries += frame.getEntries().getHashesCount();
                if (!loaded.addEntries(frame.getEntries(), catalog.index())) {
                    return null;
                }
                position += RecordFraming.frameBytes(frame.getSerializedSize());
            }
            catalog.suspectedLosses().load(end.getEnd());
            return position == endOffset && entries == end.getEnd().getEntries() ? loaded : null;
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

        /** Maps the recorded segments to current ones; returns false if a segment is missing or too short. */
        private boolean resolveSegments(Format.CheckpointEnd end) {
            for (Format.CheckpointEnd.File file : end.getFilesList()) {
                SegmentName name = SegmentName.parse(file.getName());
                Segment current = null;
                for (Segment segment : catalog.chain()) {
                    if (segment.name().equals(name)
                            || name != null && segment.name().replaces(name)) {
                        current = segment;
                    }
                }
                if (current == null) {
                    return false;
                }
                names.put(file.getId(), name);
                if (current.name().equals(name)) {
                    ids.put(file.getId(), current.id());
                    known.put(
                            name,
                            new KnownSegment(
                                    file.getLatestExpiryMs(),
                                    file.getRecords(),
                                    file.hasCut() ? file.getCut() : SegmentScan.NO_CUT));
                    if (name.first() == segment && current.validBytes() < offset) {
                        return false;
                    }
                } else {
                    ids.put(file.getId(), STALE_ID_BASE + current.id());
                    stale.add(current.id());
                }
            }
            return true;
        }

        private boolean addEntries(Format.CheckpointEntries chunk, Index index) {
            int count = chunk.getHashesCount();
            if (chunk.getFilesCount() != count
                    || chunk.getOffsetsCount() != count
                    || chunk.getLengthsCount() != count
                    || chunk.getExpiriesCount() != count) {
                return false;
            }
            for (int i = 0; i < count; i++) {
                SegmentName name = names.get(chunk.getFiles(i));
                if (name == null) {
                    return false;
                }
                // newer entries are added when the log is replayed, because their records may be damaged
                if (SuspectedLosses.compareLocations(name.first(), chunk.getOffsets(i), segment, offset) < 0) {
                    index.add(
                            chunk.getHashes(i),
                            Index.location(ids.get(chunk.getFiles(i)), chunk.getOffsets(i)),
                            chunk.getLengths(i),
                            chunk.getExpiries(i));
                }
            }
            return true;
        }

        /**
         * Returns the offset at which the replay of a segment starts. Only the segment of the checkpoint's log position
         * starts at the position's offset; a segment that was begun while the checkpoint was written starts at 0.
         */
        int replayStart(Segment current) {
            boolean containsPosition =
                    known.containsKey(current.name()) && current.name().first() == segment;
            return containsPosition && !isStale(current) ? offset : 0;
        }

        KnownSegment known(SegmentName name) {
            return known.get(name);
        }

        /** Returns whether the checkpoint contains all records of a segment, so that it need not be read. */
        boolean covers(SegmentName name) {
            return known.containsKey(name) && name.last() < segment;
        }

        /** Returns whether all records of a compacted segment precede the checkpoint's log position. */
        boolean precedesCheckpoint(SegmentName name) {
            return name.last() < segment;
        }

        /** Returns whether entries still point to segments that this segment replaced. */
        boolean isStale(Segment segment) {
            return stale.contains(segment.id());
        }

        /**
         * Points a stale entry with this hash to the location to which compaction moved its record. If several entries
         * are stale, any of them may be chosen, since each stale entry is eventually moved or removed.
         *
         * @return whether there was a stale entry
         */
        boolean repoint(Index index, Segment current, long hash, long to, int length, int expiry) {
            long[] from = new long[1];
            index.find(
                    hash,
                    (h, location, l, e) ->
                            from[0] = Index.file(location) == STALE_ID_BASE + current.id() ? location : from[0]);
            return from[0] != 0 && index.move(hash, from[0], to, length, expiry);
        }

        /** Removes entries that still point to a replaced segment: compaction dropped their records as dead. */
        void removeStaleEntries(Index index) {
            if (stale.isEmpty()) {
                return;
            }
            for (int table = 0; table < Index.TABLES; table++) {
                LongArrayList staleEntries = new LongArrayList();
                index.copy(table, (hash, location, length, expiry) -> {
                    if (Index.file(location) >= STALE_ID_BASE) {
                        staleEntries.addLong(hash);
                        staleEntries.addLong(location);
                    }
                });
                for (int i = 0; i < staleEntries.size(); i += 2) {
                    index.remove(staleEntries.getLong(i), staleEntries.getLong(i + 1));
                }
            }
        }
    }
}

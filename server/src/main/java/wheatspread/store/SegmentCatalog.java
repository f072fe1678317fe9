package wheatspread.store;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.agrona.collections.LongArrayList;

/**
 * The segments of the log in their order, the index over them, and the suspected losses. The writer's thread
 * changes it; what other threads read is guarded by the lock of {@link #index()}. The owner of the store closes
 * the segments. Invariant: the segments of the chain are disjoint and in the order of their numbers.
 */
final class SegmentCatalog {
    private final Index index = new Index();
    private final SuspectedLosses suspectedLosses = new SuspectedLosses();
    private final long seed;
    private final Hasher64 hasher;
    private final List<Segment> chain = new ArrayList<>();
    private final Map<Integer, Segment> byId = new HashMap<>();
    private int lastId;

    SegmentCatalog(long seed) {
        this.seed = seed;
        hasher = Hashing.polymurHash2_0(seed, seed ^ 0x9E3779B97F4A7C15L);
    }

    /** The index; its lock also guards the chain and the suspected losses. */
    Index index() {
        return index;
    }

    /** For threads that hold the lock of {@link #index()}. */
    SuspectedLosses suspectedLosses() {
        return suspectedLosses;
    }

    /** The seed of the key hash, the same in all files of a store. */
    long seed() {
        return seed;
    }

    /** Never 0, which stands for none. */
    long hash(byte[] key) {
        long hash = hasher.hashBytesToLong(key);
        return hash == 0 ? 1 : hash;
    }

    /** The hash of a scanned record's key: from its group's frame, or computed if that frame is lost. */
    long hash(SegmentScan scan) {
        return scan.hash() != 0 ? scan.hash() : hash(scan.record().getKey().toByteArray());
    }

    int newId() {
        return ++lastId;
    }

    /** The files in the log's order; for the one thread that changes them. */
    List<Segment> chain() {
        return chain;
    }

    /** The same for other threads. */
    List<Segment> snapshot() {
        synchronized (index) {
            return List.copyOf(chain);
        }
    }

    /** The segment with an id; null if there is none. */
    Segment byId(int id) {
        return byId.get(id);
    }

    void append(Segment segment) {
        synchronized (index) {
            chain.add(segment);
            byId.put(segment.id(), segment);
        }
    }

    /** Registers a segment that entries may point to, before it is part of the chain. */
    void register(Segment segment) {
        synchronized (index) {
            byId.put(segment.id(), segment);
        }
    }

    /** Puts one file in the place of a run of others, which no entry points to any more. */
    void replace(List<Segment> run, Segment by) {
        synchronized (index) {
            int place = chain.indexOf(run.get(0));
            chain.subList(place, place + run.size()).clear();
            chain.add(place, by);
            run.forEach(one -> byId.remove(one.id()));
        }
    }

    void remove(Segment segment) {
        synchronized (index) {
            chain.remove(segment);
            byId.remove(segment.id());
        }
    }

    long usedBytes() {
        long used = 0;
        for (Segment one : chain) {
            used += one.validBytes();
        }
        return used;
    }

    long liveBytes() {
        long live = 0;
        for (Segment one : chain) {
            live += one.liveBytes();
        }
        return live;
    }

    /** Counts the bytes of an entry as live in its segment. */
    void addLiveBytes(long at, long length) {
        Segment segment = byId.get(Index.file(at));
        if (segment != null) {
            segment.addLiveBytes(liveBytesOf(length));
        }
    }

    /** An entry is gone from a file. */
    void subtractLiveBytes(long at, long length) {
        Segment segment = byId.get(Index.file(at));
        if (segment != null) {
            segment.addLiveBytes(-liveBytesOf(length));
        }
    }

    /** The bytes of a record, with its hash in the group's frame. */
    static long liveBytesOf(long length) {
        return length + Long.BYTES;
    }

    /** Whether one place of the log is before another; both in files that are known. */
    boolean isBefore(long at, long other) {
        return SuspectedLosses.compare(
                        byId.get(Index.file(at)).name().first(),
                        Index.offset(at),
                        byId.get(Index.file(other)).name().first(),
                        Index.offset(other))
                < 0;
    }

    /**
     * Takes it that newer writes of some keys, or of any key, stood at a place of the log.
     *
     * @param at up to there entries of the known keys go
     * @param segment where the loss is, with {@code offset}
     */
    void recordLoss(LongArrayList hashes, boolean all, long untilMillis, long at, int segment, int offset) {
        for (int i = 0; i < hashes.size(); i++) {
            removeEntriesUpTo(hashes.getLong(i), at);
        }
        suspectedLosses.addLosses(hashes, all, untilMillis, segment, offset);
    }

    /** Removes the entries of a hash that are at or before a location of the log. */
    private void removeEntriesUpTo(long hash, long at) {
        LongArrayList older = new LongArrayList(2, 0);
        index.find(hash, (h, place, length, expiry) -> {
            if (byId(Index.file(place)) == null || isBefore(place, at) || place == at) {
                older.addLong(place);
                subtractLiveBytes(place, length);
            }
        });
        older.forEachOrderedLong(place -> index.remove(hash, place));
    }

    /** Whether nothing that stands before this number can come back to life. */
    boolean isExpiredBefore(int number, long nowMillis) {
        return chain.stream().allMatch(one -> one.name().first() >= number || one.isExpired(nowMillis));
    }

    /** The record at a place, or null if it is damaged. */
    static Format.Record read(Segment segment, int offset, int length) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(length);
        segment.file().read(bytes, Integer.toUnsignedLong(offset));
        ByteBuffer[] body = new ByteBuffer[1];
        if (RecordFraming.read(bytes.flip(), body) != RecordFraming.Found.COMPLETE || bytes.hasRemaining()) {
            return null;
        }
        try {
            return Format.Record.parseFrom(body[0]);
        } catch (InvalidProtocolBufferException e) {
            return null;
        }
    }

    /**
     * Whether the key of an entry is this one. A damaged record counts as such: whatever its key was, its
     * value is gone.
     */
    boolean hasKey(long at, int length, byte[] key) throws IOException {
        Format.Record there = read(byId.get(Index.file(at)), Index.offset(at), length);
        return there == null || isKey(there, key);
    }

    static boolean isKey(Format.Record record, byte[] key) {
        return record.getKey().size() == key.length
                && record.getKey().asReadOnlyByteBuffer().equals(ByteBuffer.wrap(key));
    }

    /** Whether a time has passed; 0 is never. */
    static boolean hasExpired(long untilMillis, long nowMillis) {
        return untilMillis != 0 && untilMillis <= nowMillis;
    }

    /** Seconds since 1970 when something has expired for sure; 0 for never. */
    static int expirySeconds(long expiresMs) {
        return expiresMs == 0 ? 0 : (int) Math.min(0xFFFF_FFFFL, expiresMs / 1000 + 1);
    }
}

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
 * Contains the segments of the log in order, the index over them, and the suspected losses. Only the writer thread
 * changes the catalog; state that other threads read is guarded by the lock of {@link #index()}. The owner of the store
 * closes the segments. Invariant: the segments of the chain do not overlap and are ordered by their numbers.
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

    /** Returns the index, whose lock also guards the chain and the suspected losses. */
    Index index() {
        return index;
    }

    /** Returns the suspected losses; the caller must hold the lock of {@link #index()}. */
    SuspectedLosses suspectedLosses() {
        return suspectedLosses;
    }

    /** Returns the seed of the key hash, which is the same in all files of a store. */
    long seed() {
        return seed;
    }

    /** Returns the hash of a key; never 0, which stands for no key. */
    long hash(byte[] key) {
        long hash = hasher.hashBytesToLong(key);
        return hash == 0 ? 1 : hash;
    }

    /** Returns the hash of a scanned record's key: from the group frame, or computed if that frame is lost. */
    long hash(SegmentScan scan) {
        return scan.hash() != 0 ? scan.hash() : hash(scan.record().getKey().toByteArray());
    }

    int newId() {
        return ++lastId;
    }

    /** Returns the segments in log order; only for the thread that changes them. */
    List<Segment> chain() {
        return chain;
    }

    /** Returns a copy of the chain; for any thread. */
    List<Segment> snapshot() {
        synchronized (index) {
            return List.copyOf(chain);
        }
    }

    /** Returns the segment with an id, or null if there is none. */
    Segment byId(int id) {
        return byId.get(id);
    }

    void append(Segment segment) {
        synchronized (index) {
            chain.add(segment);
            byId.put(segment.id(), segment);
        }
    }

    /** Registers a segment, so that entries can point to it before it is part of the chain. */
    void register(Segment segment) {
        synchronized (index) {
            byId.put(segment.id(), segment);
        }
    }

    /** Replaces a run of segments, to which no entry points any more, by a compacted segment. */
    void replace(List<Segment> run, Segment replacement) {
        synchronized (index) {
            int position = chain.indexOf(run.get(0));
            chain.subList(position, position + run.size()).clear();
            chain.add(position, replacement);
            run.forEach(segment -> byId.remove(segment.id()));
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
        for (Segment segment : chain) {
            used += segment.validBytes();
        }
        return used;
    }

    long liveBytes() {
        long live = 0;
        for (Segment segment : chain) {
            live += segment.liveBytes();
        }
        return live;
    }

    /** Counts the bytes of an entry as live in its segment. */
    void addLiveBytes(long location, long length) {
        Segment segment = byId.get(Index.file(location));
        if (segment != null) {
            segment.addLiveBytes(liveBytesOf(length));
        }
    }

    /** Subtracts the bytes of an entry from the live bytes of its segment. */
    void subtractLiveBytes(long location, long length) {
        Segment segment = byId.get(Index.file(location));
        if (segment != null) {
            segment.addLiveBytes(-liveBytesOf(length));
        }
    }

    /** Returns the bytes of a record frame plus its hash in the group frame. */
    static long liveBytesOf(long length) {
        return length + Long.BYTES;
    }

    /** Returns whether a log location precedes a second location; the segments of both must be registered. */
    boolean isBefore(long location, long secondLocation) {
        return SuspectedLosses.compareLocations(
                        byId.get(Index.file(location)).name().first(),
                        Index.offset(location),
                        byId.get(Index.file(secondLocation)).name().first(),
                        Index.offset(secondLocation))
                < 0;
    }

    /**
     * Records that newer writes of some keys, or of any key, may have been lost.
     *
     * @param hashes the hashes of the lost keys, whose entries up to {@code location} are removed
     * @param allKeys whether writes of unknown keys were lost as well
     * @param untilMillis when all lost writes will have expired; 0 if they never expire
     * @param segment the number of the segment of the loss, which is at {@code offset} in it
     */
    void recordLoss(LongArrayList hashes, boolean allKeys, long untilMillis, long location, int segment, int offset) {
        for (int i = 0; i < hashes.size(); i++) {
            removeEntriesUpTo(hashes.getLong(i), location);
        }
        suspectedLosses.addLosses(hashes, allKeys, untilMillis, segment, offset);
    }

    /** Removes the entries of a hash at or before a log location. */
    private void removeEntriesUpTo(long hash, long location) {
        LongArrayList older = new LongArrayList(2, 0);
        index.find(hash, (h, entry, length, expiry) -> {
            if (byId(Index.file(entry)) == null || isBefore(entry, location) || entry == location) {
                older.addLong(entry);
                subtractLiveBytes(entry, length);
            }
        });
        older.forEachOrderedLong(entry -> index.remove(hash, entry));
    }

    /** Returns whether all records of segments before a number have expired, so that none can become live again. */
    boolean isExpiredBefore(int number, long nowMillis) {
        return chain.stream().allMatch(segment -> segment.name().first() >= number || segment.isExpired(nowMillis));
    }

    /** Reads the record at an offset; returns null if it is damaged. */
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
     * Returns whether the record of an entry has this key. A damaged record is treated as a match, because its value is
     * lost, whichever key it had.
     */
    boolean hasKey(long location, int length, byte[] key) throws IOException {
        Format.Record record = read(byId.get(Index.file(location)), Index.offset(location), length);
        return record == null || isKey(record, key);
    }

    static boolean isKey(Format.Record record, byte[] key) {
        return record.getKey().size() == key.length
                && record.getKey().asReadOnlyByteBuffer().equals(ByteBuffer.wrap(key));
    }

    /** Returns whether a time has passed; 0 stands for never. */
    static boolean hasExpired(long untilMillis, long nowMillis) {
        return untilMillis != 0 && untilMillis <= nowMillis;
    }

    /** Returns the expiry in seconds since 1970, rounded up; 0 stands for never. */
    static int expirySeconds(long expiresMs) {
        return expiresMs == 0 ? 0 : (int) Math.min(0xFFFF_FFFFL, expiresMs / 1000 + 1);
    }
}

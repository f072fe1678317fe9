package wheatspread.store;

import java.util.Map;
import org.agrona.collections.Long2LongHashMap;
import org.agrona.collections.LongArrayList;

/**
 * Tracks keys whose newest write may have been lost to damage, by the hash of the key. If the hashes are lost as
 * well, every key whose entry is older than the damage is suspected. A suspicion ends when every write that could
 * have been lost has expired.
 *
 * <p>Guarded by the lock of {@link SegmentCatalog#index()}. No I/O, no clock. Bounded by {@link #MAX_KEYS}.
 */
final class SuspectedLosses {
    /** The maximum number of tracked keys; if it is exceeded, every key with an older entry is suspected. */
    static final int MAX_KEYS = 100_000;

    private static final long NEVER_ENDS_MILLIS = Long.MAX_VALUE;

    private final Long2LongHashMap keys = new Long2LongHashMap(0);
    private int lossSegment;
    private int lossOffset;
    private long unknownKeysUntilMillis;

    /**
     * Adds a key whose newest write may be lost. The suspicion ends at {@code untilMillis}; a value of 0 means that it
     * never ends.
     */
    void add(long hash, long untilMillis, int segment, int offset) {
        if (keys.size() >= MAX_KEYS && !keys.containsKey(hash)) {
            addUnknownKeys(untilMillis, segment, offset);
        } else {
            keys.merge(hash, untilMillis == 0 ? NEVER_ENDS_MILLIS : untilMillis, Math::max);
        }
    }

    /** Records that writes of unknown keys may be lost at a log location. */
    void addUnknownKeys(long untilMillis, int segment, int offset) {
        if (compareLocations(segment, offset, lossSegment, lossOffset) > 0 || unknownKeysUntilMillis == 0) {
            lossSegment = segment;
            lossOffset = offset;
        }
        unknownKeysUntilMillis = Math.max(unknownKeysUntilMillis, untilMillis == 0 ? NEVER_ENDS_MILLIS : untilMillis);
    }

    /** Returns whether a key without an entry may have had a write that was lost. */
    boolean suspectsAbsentKey(long hash, long nowMillis) {
        return unknownKeysUntilMillis > nowMillis || keys.get(hash) > nowMillis;
    }

    /** Returns whether a key whose entry is at a log location may have had a newer write that was lost. */
    boolean suspectsEntry(int segment, int offset, long nowMillis) {
        return unknownKeysUntilMillis > nowMillis && compareLocations(segment, offset, lossSegment, lossOffset) < 0;
    }

    /** Removes suspicions that have ended. */
    void removeExpired(long nowMillis) {
        keys.values().removeIf(until -> until <= nowMillis);
        if (unknownKeysUntilMillis <= nowMillis) {
            unknownKeysUntilMillis = 0;
        }
    }

    void clear() {
        keys.clear();
        unknownKeysUntilMillis = 0;
    }

    int size() {
        return keys.size();
    }

    boolean suspectsAllKeys() {
        return unknownKeysUntilMillis != 0;
    }

    /** Adds the suspected losses to the end of a checkpoint. */
    void save(Format.CheckpointEnd.Builder end) {
        for (Map.Entry<Long, Long> entry : keys.entrySet()) {
            end.addDoubts(Format.Doubt.newBuilder()
                    .addHashes(entry.getKey())
                    .setUntilMs(entry.getValue() == NEVER_ENDS_MILLIS ? 0 : entry.getValue()));
        }
        if (unknownKeysUntilMillis != 0) {
            end.addDoubts(Format.Doubt.newBuilder()
                    .setAll(true)
                    .setUntilMs(unknownKeysUntilMillis == NEVER_ENDS_MILLIS ? 0 : unknownKeysUntilMillis));
            end.addDoubtSegments(lossSegment);
            end.addDoubtOffsets(lossOffset);
        }
    }

    void load(Format.CheckpointEnd end) {
        int lossIndex = 0;
        for (Format.Doubt doubt : end.getDoubtsList()) {
            if (doubt.getAll()) {
                addUnknownKeys(doubt.getUntilMs(), end.getDoubtSegments(lossIndex), end.getDoubtOffsets(lossIndex));
                lossIndex++;
            }
            for (long hash : doubt.getHashesList()) {
                add(hash, doubt.getUntilMs(), 0, 0);
            }
        }
    }

    /** Adds the losses at a log location; a hash of 0 stands for no key and is skipped. */
    void addLosses(LongArrayList lost, boolean allKeys, long untilMillis, int segment, int offset) {
        for (int i = 0; i < lost.size(); i++) {
            if (lost.getLong(i) != 0) {
                add(lost.getLong(i), untilMillis, segment, offset);
            }
        }
        if (allKeys) {
            addUnknownKeys(untilMillis, segment, offset);
        }
    }

    static int compareLocations(int segment, int offset, int otherSegment, int otherOffset) {
        int order = Integer.compare(segment, otherSegment);
        return order != 0 ? order : Integer.compareUnsigned(offset, otherOffset);
    }
}

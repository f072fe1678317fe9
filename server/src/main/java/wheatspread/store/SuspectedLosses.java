package wheatspread.store;

import java.util.Map;
import org.agrona.collections.Long2LongHashMap;
import org.agrona.collections.LongArrayList;

/**
 * Keys whose newest write may have been lost to damage, by the hash of the key. Where the hashes are lost as
 * well, every key is suspected whose entry is older than the damage. A suspicion ends when everything that
 * could have been lost has expired.
 *
 * <p>Guarded by the lock of {@link SegmentCatalog#index()}. No I/O, no clock. Bounded by {@link #MAX_KEYS}:
 * beyond it, every older key is suspected.
 */
final class SuspectedLosses {
    /** With more keys than this, every older key is suspected. */
    static final int MAX_KEYS = 100_000;

    private static final long NEVER_ENDS_MILLIS = Long.MAX_VALUE;

    private final Long2LongHashMap keys = new Long2LongHashMap(0);
    private int lossSegment;
    private int lossOffset;
    private long allUntilMillis;

    /** A key whose newest write may be lost; 0 for {@code untilMillis} is for good. */
    void add(long hash, long untilMillis, int atSegment, int atOffset) {
        if (keys.size() >= MAX_KEYS && !keys.containsKey(hash)) {
            addAll(untilMillis, atSegment, atOffset);
        } else {
            keys.merge(hash, untilMillis == 0 ? NEVER_ENDS_MILLIS : untilMillis, Math::max);
        }
    }

    /** Any key's newest write may be lost that stood at this place of the log. */
    void addAll(long untilMillis, int atSegment, int atOffset) {
        if (compare(atSegment, atOffset, lossSegment, lossOffset) > 0 || allUntilMillis == 0) {
            lossSegment = atSegment;
            lossOffset = atOffset;
        }
        allUntilMillis = Math.max(allUntilMillis, untilMillis == 0 ? NEVER_ENDS_MILLIS : untilMillis);
    }

    /** Whether a key that is not there may have been. */
    boolean suspectsAbsentKey(long hash, long nowMillis) {
        return allUntilMillis > nowMillis || keys.get(hash) > nowMillis;
    }

    /** Whether a key whose entry stands there may have been written again. */
    boolean suspectsEntry(int atSegment, int atOffset, long nowMillis) {
        return allUntilMillis > nowMillis && compare(atSegment, atOffset, lossSegment, lossOffset) < 0;
    }

    /** Removes suspicions that have ended. */
    void removeExpired(long nowMillis) {
        keys.values().removeIf(until -> until <= nowMillis);
        if (allUntilMillis <= nowMillis) {
            allUntilMillis = 0;
        }
    }

    void clear() {
        keys.clear();
        allUntilMillis = 0;
    }

    int size() {
        return keys.size();
    }

    boolean suspectsAllKeys() {
        return allUntilMillis != 0;
    }

    /** Writes them into a checkpoint. */
    void save(Format.CheckpointEnd.Builder to) {
        for (Map.Entry<Long, Long> one : keys.entrySet()) {
            to.addDoubts(Format.Doubt.newBuilder()
                    .addHashes(one.getKey())
                    .setUntilMs(one.getValue() == NEVER_ENDS_MILLIS ? 0 : one.getValue()));
        }
        if (allUntilMillis != 0) {
            to.addDoubts(Format.Doubt.newBuilder()
                    .setAll(true)
                    .setUntilMs(allUntilMillis == NEVER_ENDS_MILLIS ? 0 : allUntilMillis));
            to.addDoubtSegments(lossSegment);
            to.addDoubtOffsets(lossOffset);
        }
    }

    void load(Format.CheckpointEnd from) {
        int all = 0;
        for (Format.Doubt one : from.getDoubtsList()) {
            if (one.getAll()) {
                addAll(one.getUntilMs(), from.getDoubtSegments(all), from.getDoubtOffsets(all));
                all++;
            }
            for (long hash : one.getHashesList()) {
                add(hash, one.getUntilMs(), 0, 0);
            }
        }
    }

    /** The lost keys of one place. */
    void addLosses(LongArrayList lost, boolean all, long untilMillis, int atSegment, int atOffset) {
        for (int i = 0; i < lost.size(); i++) {
            if (lost.getLong(i) != 0) {
                add(lost.getLong(i), untilMillis, atSegment, atOffset);
            }
        }
        if (all) {
            addAll(untilMillis, atSegment, atOffset);
        }
    }

    static int compare(int segment, int offset, int otherSegment, int otherOffset) {
        int order = Integer.compare(segment, otherSegment);
        return order != 0 ? order : Integer.compareUnsigned(offset, otherOffset);
    }
}

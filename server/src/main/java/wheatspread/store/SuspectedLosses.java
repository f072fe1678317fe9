package wheatspread.store;

import java.util.Map;
import org.agrona.collections.Long2LongHashMap;
import org.agrona.collections.LongArrayList;

/**
 * What damage has taken: keys, by their hash, of which a newer write than any that is left may have stood
 * there. Where the keys are not known, every key is in doubt whose entry is older than the damage. A doubt
 * ends when all that could have been lost has expired. No I/O, no clock; not for several threads.
 */
final class SuspectedLosses {
    /** Beyond so many keys, all are in doubt. */
    static final int MOST = 100_000;

    private static final long NEVER = Long.MAX_VALUE;

    private final Long2LongHashMap keys = new Long2LongHashMap(0);
    private int segment;
    private int offset;
    private long allUntil;

    /** A key whose newest write may be lost; 0 for {@code untilMs} is for good. */
    void add(long hash, long untilMs, int atSegment, int atOffset) {
        if (keys.size() >= MOST && !keys.containsKey(hash)) {
            addAll(untilMs, atSegment, atOffset);
        } else {
            keys.merge(hash, untilMs == 0 ? NEVER : untilMs, Math::max);
        }
    }

    /** Any key's newest write may be lost that stood at this place of the log. */
    void addAll(long untilMs, int atSegment, int atOffset) {
        if (compare(atSegment, atOffset, segment, offset) > 0 || allUntil == 0) {
            segment = atSegment;
            offset = atOffset;
        }
        allUntil = Math.max(allUntil, untilMs == 0 ? NEVER : untilMs);
    }

    /** Whether a key that is not there may have been. */
    boolean aboutAbsent(long hash, long nowMs) {
        return allUntil > nowMs || keys.get(hash) > nowMs;
    }

    /** Whether a key whose entry stands there may have been written again. */
    boolean aboutEntry(int atSegment, int atOffset, long nowMs) {
        return allUntil > nowMs && compare(atSegment, atOffset, segment, offset) < 0;
    }

    /** Forgets what has ended. */
    void age(long nowMs) {
        keys.values().removeIf(until -> until <= nowMs);
        if (allUntil <= nowMs) {
            allUntil = 0;
        }
    }

    void clear() {
        keys.clear();
        allUntil = 0;
    }

    int size() {
        return keys.size();
    }

    boolean all() {
        return allUntil != 0;
    }

    /** Writes them into a checkpoint. */
    void save(Format.CheckpointEnd.Builder to) {
        for (Map.Entry<Long, Long> one : keys.entrySet()) {
            to.addDoubts(Format.Doubt.newBuilder()
                    .addHashes(one.getKey())
                    .setUntilMs(one.getValue() == NEVER ? 0 : one.getValue()));
        }
        if (allUntil != 0) {
            to.addDoubts(Format.Doubt.newBuilder().setAll(true).setUntilMs(allUntil == NEVER ? 0 : allUntil));
            to.addDoubtSegments(segment);
            to.addDoubtOffsets(offset);
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
    void take(LongArrayList lost, boolean all, long untilMs, int atSegment, int atOffset) {
        for (int i = 0; i < lost.size(); i++) {
            if (lost.getLong(i) != 0) {
                add(lost.getLong(i), untilMs, atSegment, atOffset);
            }
        }
        if (all) {
            addAll(untilMs, atSegment, atOffset);
        }
    }

    static int compare(int segment, int offset, int otherSegment, int otherOffset) {
        int order = Integer.compare(segment, otherSegment);
        return order != 0 ? order : Integer.compareUnsigned(offset, otherOffset);
    }
}

package wheatspread.store;

import java.util.function.Consumer;

/**
 * How a store works. Sizes are bytes, times milliseconds.
 *
 * @param sync when what was written is made to last
 * @param syncMs for {@link Sync#INTERVAL}: how much of what was acknowledged a crash of the machine may
 *     take
 * @param segmentBytes a file of the log is sealed at this size
 * @param maxBytes limit of all files together; writes that exceed it are rejected until space is freed
 * @param minFreeBytes writes are rejected while the disk has less free space
 * @param recordBytes the longest key with its value
 * @param queueRecords writes that may wait, and {@code queueBytes} for their sizes; the same number of
 *     reads
 * @param groupRecords what is written and synced together at most, and {@code groupBytes} for the sizes
 * @param compactBytesPerS what compaction reads and writes a second at most
 * @param compactDeadShare a run of segments is rewritten when this share of it is dead
 * @param compactWaitMs a segment whose records will all have expired within this time is not compacted
 * @param checkpointBytes the index is written after so many bytes of log: what a start has to read at most
 * @param longestLifeMs writes must expire within it; 0 is no bound. It bounds how long a suspected loss lasts
 */
public record StoreSettings(
        Sync sync,
        long syncMs,
        int segmentBytes,
        long maxBytes,
        long minFreeBytes,
        int recordBytes,
        int queueRecords,
        long queueBytes,
        int groupRecords,
        int groupBytes,
        long compactBytesPerS,
        double compactDeadShare,
        long compactWaitMs,
        long checkpointBytes,
        long longestLifeMs) {
    /** When a write is acknowledged (its durability). */
    public enum Sync {
        /** After the sync of its group: no acknowledged write is lost. */
        GROUP,
        /**
         * After the write to the operating system, with a sync at intervals: survives a crash of the process, but a
         * crash of the machine loses up to one interval.
         */
        INTERVAL,
        /**
         * After the write to the operating system, which writes it back at its own pace: survives a crash of the
         * process.
         */
        NONE
    }

    public static final StoreSettings DEFAULT = new StoreSettings(
            Sync.GROUP,
            10,
            16 << 20,
            256L << 20,
            64L << 20,
            1 << 20,
            10_000,
            8L << 20,
            1_024,
            1 << 20,
            16L << 20,
            0.5,
            60_000,
            32L << 20,
            0);

    /** @throws IllegalArgumentException naming the value and what is allowed */
    public StoreSettings {
        requireInRange("sync_ms", syncMs, 1, 60_000);
        requireInRange("segment_bytes", segmentBytes, 1 << 10, 1 << 30);
        requireInRange("max_bytes", maxBytes, 4L * segmentBytes, 1L << 50);
        requireInRange("min_free_bytes", minFreeBytes, 0, 1L << 50);
        requireInRange("record_bytes", recordBytes, 16, Math.min(segmentBytes / 4, RecordFraming.MAX_BODY_BYTES / 2));
        requireInRange("queue_records", queueRecords, 1, 10_000_000);
        requireInRange("queue_bytes", queueBytes, recordBytes, 1L << 32);
        requireInRange("group_records", groupRecords, 1, 100_000);
        requireInRange("group_bytes", groupBytes, recordBytes, segmentBytes);
        requireInRange("compact_bytes_per_s", compactBytesPerS, 1 << 10, 1L << 40);
        if (!(compactDeadShare > 0 && compactDeadShare < 1)) {
            throw new IllegalArgumentException(
                    "compact_dead_share is " + compactDeadShare + "; allowed is between 0 and 1");
        }
        requireInRange("compact_wait_ms", compactWaitMs, 0, 86_400_000);
        requireInRange("checkpoint_bytes", checkpointBytes, 1 << 10, 1L << 40);
        requireInRange("longest_life_ms", longestLifeMs, 0, Long.MAX_VALUE / 4);
    }

    private static void requireInRange(String name, long value, long min, long max) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(name + " is " + value + "; allowed is " + min + " to " + max);
        }
    }

    /** Space kept free below the limit, so that a compaction and a checkpoint are possible at any time. */
    long reserveBytes() {
        return segmentBytes + segmentBytes / 2;
    }

    /** When every record that could be lost now will have expired; 0 is never. */
    long lossUntilMillis(long nowMillis) {
        return longestLifeMs == 0 ? 0 : nowMillis + longestLifeMs;
    }

    /** A copy with another way to acknowledge writes; {@code everyMs} is for {@link Sync#INTERVAL}. */
    public StoreSettings withSync(Sync other, long everyMs) {
        return with(draft -> {
            draft.sync = other;
            draft.syncMs = everyMs;
        });
    }

    /** Records and groups become smaller where they would not fit a segment. */
    public StoreSettings withSizes(int segment, long max, long checkpoint) {
        int record = Math.min(recordBytes, segment / 4);
        return with(draft -> {
            draft.segmentBytes = segment;
            draft.maxBytes = max;
            draft.recordBytes = record;
            draft.groupBytes = Math.max(record, Math.min(groupBytes, segment));
            draft.checkpointBytes = checkpoint;
        });
    }

    /** A copy with another rate, dead share and waiting time of compaction. */
    public StoreSettings withCompaction(long bytesPerS, double deadShare, long waitMs) {
        return with(draft -> {
            draft.compactBytesPerS = bytesPerS;
            draft.compactDeadShare = deadShare;
            draft.compactWaitMs = waitMs;
        });
    }

    /** A copy with other bounds of the queue, and of the records in a group. */
    public StoreSettings withQueue(int records, long bytes, int perGroup) {
        return with(draft -> {
            draft.queueRecords = records;
            draft.queueBytes = bytes;
            draft.groupRecords = perGroup;
        });
    }

    /** A copy with another bound on expiry times; 0 is no bound. */
    public StoreSettings withLongestLife(long ms) {
        return with(draft -> draft.longestLifeMs = ms);
    }

    private StoreSettings with(Consumer<Draft> change) {
        Draft draft = new Draft(this);
        change.accept(draft);
        return draft.settings();
    }

    /** A copy that may still be changed. */
    private static final class Draft {
        private Sync sync;
        private long syncMs;
        private int segmentBytes;
        private long maxBytes;
        private final long minFreeBytes;
        private int recordBytes;
        private int queueRecords;
        private long queueBytes;
        private int groupRecords;
        private int groupBytes;
        private long compactBytesPerS;
        private double compactDeadShare;
        private long compactWaitMs;
        private long checkpointBytes;
        private long longestLifeMs;

        Draft(StoreSettings from) {
            sync = from.sync;
            syncMs = from.syncMs;
            segmentBytes = from.segmentBytes;
            maxBytes = from.maxBytes;
            minFreeBytes = from.minFreeBytes;
            recordBytes = from.recordBytes;
            queueRecords = from.queueRecords;
            queueBytes = from.queueBytes;
            groupRecords = from.groupRecords;
            groupBytes = from.groupBytes;
            compactBytesPerS = from.compactBytesPerS;
            compactDeadShare = from.compactDeadShare;
            compactWaitMs = from.compactWaitMs;
            checkpointBytes = from.checkpointBytes;
            longestLifeMs = from.longestLifeMs;
        }

        StoreSettings settings() {
            return new StoreSettings(
                    sync,
                    syncMs,
                    segmentBytes,
                    maxBytes,
                    minFreeBytes,
                    recordBytes,
                    queueRecords,
                    queueBytes,
                    groupRecords,
                    groupBytes,
                    compactBytesPerS,
                    compactDeadShare,
                    compactWaitMs,
                    checkpointBytes,
                    longestLifeMs);
        }
    }
}

package wheatspread.store;

import java.util.function.Consumer;

/**
 * How a store works. Sizes are bytes, times milliseconds.
 *
 * @param sync when what was written is made to last
 * @param syncIntervalMillis for {@link Sync#INTERVAL}: how much of what was acknowledged a crash of the machine may
 *     take
 * @param segmentBytes a file of the log is sealed at this size
 * @param maxStoreBytes limit of all files together; writes that exceed it are rejected until space is freed
 * @param minFreeBytes writes are rejected while the disk has less free space
 * @param maxRecordBytes the longest key with its value
 * @param maxQueuedRecords writes that may wait, and {@code maxQueuedBytes} for their sizes; the same number of
 *     reads
 * @param maxGroupRecords what is written and synced together at most, and {@code maxGroupBytes} for the sizes
 * @param compactionBytesPerSecond what compaction reads and writes a second at most
 * @param compactionMinDeadShare a run of segments is rewritten when this share of it is dead
 * @param compactionMaxWaitMillis a segment whose records will all have expired within this time is not compacted
 * @param checkpointIntervalBytes the index is written after so many bytes of log: what a start has to read at most
 * @param maxLifetimeMillis writes must expire within it; 0 is no bound. It bounds how long a suspected loss lasts
 */
public record StoreSettings(
        Sync sync,
        long syncIntervalMillis,
        int segmentBytes,
        long maxStoreBytes,
        long minFreeBytes,
        int maxRecordBytes,
        int maxQueuedRecords,
        long maxQueuedBytes,
        int maxGroupRecords,
        int maxGroupBytes,
        long compactionBytesPerSecond,
        double compactionMinDeadShare,
        long compactionMaxWaitMillis,
        long checkpointIntervalBytes,
        long maxLifetimeMillis) {
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
        requireInRange("sync_ms", syncIntervalMillis, 1, 60_000);
        requireInRange("segment_bytes", segmentBytes, 1 << 10, 1 << 30);
        requireInRange("max_bytes", maxStoreBytes, 4L * segmentBytes, 1L << 50);
        requireInRange("min_free_bytes", minFreeBytes, 0, 1L << 50);
        requireInRange(
                "record_bytes", maxRecordBytes, 16, Math.min(segmentBytes / 4, RecordFraming.MAX_BODY_BYTES / 2));
        requireInRange("queue_records", maxQueuedRecords, 1, 10_000_000);
        requireInRange("queue_bytes", maxQueuedBytes, maxRecordBytes, 1L << 32);
        requireInRange("group_records", maxGroupRecords, 1, 100_000);
        requireInRange("group_bytes", maxGroupBytes, maxRecordBytes, segmentBytes);
        requireInRange("compact_bytes_per_s", compactionBytesPerSecond, 1 << 10, 1L << 40);
        if (!(compactionMinDeadShare > 0 && compactionMinDeadShare < 1)) {
            throw new IllegalArgumentException(
                    "compact_dead_share is " + compactionMinDeadShare + "; allowed is between 0 and 1");
        }
        requireInRange("compact_wait_ms", compactionMaxWaitMillis, 0, 86_400_000);
        requireInRange("checkpoint_bytes", checkpointIntervalBytes, 1 << 10, 1L << 40);
        requireInRange("longest_life_ms", maxLifetimeMillis, 0, Long.MAX_VALUE / 4);
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
        return maxLifetimeMillis == 0 ? 0 : nowMillis + maxLifetimeMillis;
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
        int record = Math.min(maxRecordBytes, segment / 4);
        return with(draft -> {
            draft.segmentBytes = segment;
            draft.maxBytes = max;
            draft.recordBytes = record;
            draft.groupBytes = Math.max(record, Math.min(maxGroupBytes, segment));
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
    public StoreSettings withMaxLifetime(long ms) {
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
            syncMs = from.syncIntervalMillis;
            segmentBytes = from.segmentBytes;
            maxBytes = from.maxStoreBytes;
            minFreeBytes = from.minFreeBytes;
            recordBytes = from.maxRecordBytes;
            queueRecords = from.maxQueuedRecords;
            queueBytes = from.maxQueuedBytes;
            groupRecords = from.maxGroupRecords;
            groupBytes = from.maxGroupBytes;
            compactBytesPerS = from.compactionBytesPerSecond;
            compactDeadShare = from.compactionMinDeadShare;
            compactWaitMs = from.compactionMaxWaitMillis;
            checkpointBytes = from.checkpointIntervalBytes;
            longestLifeMs = from.maxLifetimeMillis;
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

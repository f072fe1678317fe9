package wheatspread.store;

import java.util.function.Consumer;

/**
 * The settings of a store. Sizes are in bytes, times in milliseconds.
 *
 * @param sync when writes are synced and acknowledged
 * @param syncIntervalMillis the interval of {@link Sync#INTERVAL}; a crash of the machine may lose the acknowledged
 *     writes of an interval
 * @param segmentBytes the size at which a segment is sealed
 * @param maxStoreBytes the limit of all files together; writes that exceed it are rejected until space is freed
 * @param minFreeBytes the free space of the disk below which writes are rejected
 * @param maxRecordBytes the maximum length of a key and its value together
 * @param maxQueuedRecords the maximum number of pending writes, and also of pending reads
 * @param maxQueuedBytes the maximum bytes of pending writes
 * @param maxGroupRecords the maximum number of writes that are appended and synced together
 * @param maxGroupBytes the maximum bytes of writes that are appended and synced together
 * @param compactionBytesPerSecond the maximum bytes that maintenance jobs read and write per second
 * @param compactionMinDeadShare the share of dead bytes from which a run of segments is compacted
 * @param compactionMaxWaitMillis a segment whose records all expire within this time is not compacted
 * @param checkpointIntervalBytes the bytes of log after which a checkpoint is written, which bounds the replay at
 *     start
 * @param maxLifetimeMillis the maximum time until a write expires, which bounds how long a suspected loss lasts; 0
 *     for no limit
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
    /** When a write is acknowledged, which determines its durability. */
    public enum Sync {
        /** After the sync of its group: no acknowledged write is lost. */
        GROUP,
        /**
         * After the write to the operating system, with a sync at intervals: survives a crash of the process, but a
         * crash of the machine loses up to one interval.
         */
        INTERVAL,
        /**
         * After the write to the operating system, which decides when to write it back: survives a crash of the
         * process only.
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

    /** @throws IllegalArgumentException if a value is out of range; the message states the allowed range */
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

    /** Returns the space kept free below the limit, so that a compaction and a checkpoint are always possible. */
    long reserveBytes() {
        return segmentBytes + segmentBytes / 2;
    }

    /** Returns when every record that may be lost now will have expired; 0 stands for never. */
    long lossUntilMillis(long nowMillis) {
        return maxLifetimeMillis == 0 ? 0 : nowMillis + maxLifetimeMillis;
    }

    /** Returns a copy with another sync mode; the interval applies to {@link Sync#INTERVAL}. */
    public StoreSettings withSync(Sync newSync, long newIntervalMillis) {
        return with(draft -> {
            draft.sync = newSync;
            draft.syncIntervalMillis = newIntervalMillis;
        });
    }

    /** Returns a copy with other sizes. Limits of records and groups are reduced to fit into a segment. */
    public StoreSettings withSizes(int newSegmentBytes, long newMaxStoreBytes, long newCheckpointIntervalBytes) {
        int newRecordBytes = Math.min(maxRecordBytes, newSegmentBytes / 4);
        return with(draft -> {
            draft.segmentBytes = newSegmentBytes;
            draft.maxStoreBytes = newMaxStoreBytes;
            draft.maxRecordBytes = newRecordBytes;
            draft.maxGroupBytes = Math.max(newRecordBytes, Math.min(maxGroupBytes, newSegmentBytes));
            draft.checkpointIntervalBytes = newCheckpointIntervalBytes;
        });
    }

    /** Returns a copy with another rate, minimum dead share and maximum wait of compaction. */
    public StoreSettings withCompaction(long bytesPerSecond, double minDeadShare, long maxWaitMillis) {
        return with(draft -> {
            draft.compactionBytesPerSecond = bytesPerSecond;
            draft.compactionMinDeadShare = minDeadShare;
            draft.compactionMaxWaitMillis = maxWaitMillis;
        });
    }

    /** Returns a copy with other limits of the queue, and of the records in a group. */
    public StoreSettings withQueue(int maxRecords, long maxBytes, int newMaxGroupRecords) {
        return with(draft -> {
            draft.maxQueuedRecords = maxRecords;
            draft.maxQueuedBytes = maxBytes;
            draft.maxGroupRecords = newMaxGroupRecords;
        });
    }

    /** Returns a copy with another maximum lifetime; 0 for no limit. */
    public StoreSettings withMaxLifetime(long lifetimeMillis) {
        return with(draft -> draft.maxLifetimeMillis = lifetimeMillis);
    }

    private StoreSettings with(Consumer<Draft> change) {
        Draft draft = new Draft(this);
        change.accept(draft);
        return draft.settings();
    }

    /** A mutable copy of the settings. */
    private static final class Draft {
        private Sync sync;
        private long syncIntervalMillis;
        private int segmentBytes;
        private long maxStoreBytes;
        private final long minFreeBytes;
        private int maxRecordBytes;
        private int maxQueuedRecords;
        private long maxQueuedBytes;
        private int maxGroupRecords;
        private int maxGroupBytes;
        private long compactionBytesPerSecond;
        private double compactionMinDeadShare;
        private long compactionMaxWaitMillis;
        private long checkpointIntervalBytes;
        private long maxLifetimeMillis;

        Draft(StoreSettings from) {
            sync = from.sync;
            syncIntervalMillis = from.syncIntervalMillis;
            segmentBytes = from.segmentBytes;
            maxStoreBytes = from.maxStoreBytes;
            minFreeBytes = from.minFreeBytes;
            maxRecordBytes = from.maxRecordBytes;
            maxQueuedRecords = from.maxQueuedRecords;
            maxQueuedBytes = from.maxQueuedBytes;
            maxGroupRecords = from.maxGroupRecords;
            maxGroupBytes = from.maxGroupBytes;
            compactionBytesPerSecond = from.compactionBytesPerSecond;
            compactionMinDeadShare = from.compactionMinDeadShare;
            compactionMaxWaitMillis = from.compactionMaxWaitMillis;
            checkpointIntervalBytes = from.checkpointIntervalBytes;
            maxLifetimeMillis = from.maxLifetimeMillis;
        }

        StoreSettings settings() {
            return new StoreSettings(
                    sync,
                    syncIntervalMillis,
                    segmentBytes,
                    maxStoreBytes,
                    minFreeBytes,
                    maxRecordBytes,
                    maxQueuedRecords,
                    maxQueuedBytes,
                    maxGroupRecords,
                    maxGroupBytes,
                    compactionBytesPerSecond,
                    compactionMinDeadShare,
                    compactionMaxWaitMillis,
                    checkpointIntervalBytes,
                    maxLifetimeMillis);
        }
    }
}

package wheatspread.store;

import java.io.IOException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import wheatspread.disk.Disk;
import wheatspread.logging.EventLog;

/**
 * Tools for a store that no process has open. Each call locks the folder, opens the store and closes it again.
 * Times are milliseconds since 1970.
 */
public final class OfflineTools {
    private static final SecureRandom RANDOM = new SecureRandom();

    private OfflineTools() {}

    /**
     * The state of a segment.
     *
     * @param cutOffset the offset in bytes at which this segment ends according to a later segment; -1 if none states
     *     the end
     */
    public record SegmentInspection(
            String name, long bytes, long liveBytes, long records, long latestExpiryMillis, int cutOffset) {}

    /**
     * The state of a store.
     *
     * @param findings the log lines of the inspection, one per problem; empty if there is none
     * @param damageCount the number of places at which acknowledged writes are lost
     * @param cutBytes the bytes of torn writes that were never acknowledged
     */
    public record Inspection(
            List<SegmentInspection> files, StoreStats stats, List<String> findings, long damageCount, long cutBytes) {}

    /** An unexpired entry; {@code expiresMillis} is 0 if it never expires. */
    public record Entry(byte[] key, byte[] value, long expiresMillis) {}

    /** Inspects the newest checkpoint and the log after it. Read-only. */
    public static Inspection stat(Disk disk, long nowMillis) throws IOException {
        return inspect(disk, nowMillis, Recovery.Purpose.READ_ONLY);
    }

    /** Reads and verifies every frame of every file. Read-only. */
    public static Inspection check(Disk disk, long nowMillis) throws IOException {
        return inspect(disk, nowMillis, Recovery.Purpose.VERIFY);
    }

    private static Inspection inspect(Disk disk, long nowMillis, Recovery.Purpose purpose) throws IOException {
        List<String> findings = new ArrayList<>();
        LogStructuredStore store = LogStructuredStore.open(
                disk, StoreSettings.DEFAULT, EventLog.lines(findings::add), RANDOM::nextLong, nowMillis, purpose);
        try {
            List<SegmentInspection> files = store.catalog().chain().stream()
                    .map(segment -> new SegmentInspection(
                            segment.name().toString(),
                            segment.validBytes(),
                            segment.liveBytes(),
                            segment.recordCount(),
                            segment.latestExpiryMillis(),
                            segment.cutOffset()))
                    .toList();
            return new Inspection(
                    files,
                    store.stats(),
                    findings,
                    store.recovered().damages(),
                    store.recovered().cutBytes());
        } finally {
            store.closeFiles();
        }
    }

    /** Passes every unexpired entry, in no order, to a consumer; returns how many could not be read. Read-only. */
    public static long dump(Disk disk, long nowMillis, Consumer<Entry> consumer) throws IOException {
        LogStructuredStore store = LogStructuredStore.open(
                disk, StoreSettings.DEFAULT, EventLog.NONE, RANDOM::nextLong, nowMillis, Recovery.Purpose.READ_ONLY);
        try {
            long[] unreadable = new long[1];
            for (int table = 0; table < Index.TABLES; table++) {
                List<long[]> entries = new ArrayList<>();
                store.catalog()
                        .index()
                        .copy(table, (hash, location, length, expiry) -> entries.add(new long[] {location, length}));
                for (long[] entry : entries) {
                    Format.Record record = SegmentCatalog.read(
                            store.catalog().byId(Index.file(entry[0])), Index.offset(entry[0]), (int) entry[1]);
                    if (record == null) {
                        unreadable[0]++;
                    } else if (!SegmentCatalog.hasExpired(record.getExpiresMs(), nowMillis)) {
                        consumer.accept(new Entry(
                                record.getKey().toByteArray(), record.getValue().toByteArray(), record.getExpiresMs()));
                    }
                }
            }
            return unreadable[0];
        } finally {
            store.closeFiles();
        }
    }

    /**
     * Rewrites the log without dead records, and writes a new checkpoint.
     *
     * @param acceptLoss whether to accept the suspected losses and to stop reporting them: a key whose newest write was
     *     lost to damage is then absent or has an older value
     */
    public static Inspection compact(
            Disk disk, StoreSettings settings, long nowMillis, boolean acceptLoss, EventLog events) throws IOException {
        LogStructuredStore store = LogStructuredStore.open(
                disk, settings, events, RANDOM::nextLong, nowMillis, Recovery.Purpose.READ_WRITE);
        boolean completed = false;
        try {
            if (acceptLoss) {
                store.acceptLoss();
            }
            store.compactNow(nowMillis, acceptLoss);
            store.finish(nowMillis);
            completed = true;
        } finally {
            if (completed) {
                store.close();
            } else {
                store.closeFiles();
            }
        }
        return stat(disk, nowMillis);
    }
}

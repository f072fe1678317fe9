package wheatspread.store;

import java.io.IOException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import wheatspread.disk.Disk;
import wheatspread.logging.EventLog;

/**
 * Tools for a store that no process has open. Each call locks the folder, and closes it again. Times are
 * milliseconds since 1970.
 */
public final class OfflineTools {
    private static final SecureRandom RANDOM = new SecureRandom();

    private OfflineTools() {}

    /** A file of the log. */
    public record SegmentInspection(
            String name, long bytes, long liveBytes, long records, long latestExpiryMillis, int cutOffset) {}

    /**
     * What a store holds.
     *
     * @param findings what is not as it was written, one line each; empty if nothing is wrong
     * @param damages places where acknowledged writes are lost
     */
    public record Inspection(
            List<SegmentInspection> files, StoreStats stats, List<String> findings, long damages, long cutBytes) {}

    /** An entry that lives. */
    public record Entry(byte[] key, byte[] value, long expiresMillis) {}

    /** The content according to the newest checkpoint and the log behind it. Read-only. */
    public static Inspection stat(Disk disk, long nowMillis) throws IOException {
        return look(disk, nowMillis, Recovery.Purpose.READ_ONLY);
    }

    /** Reads and verifies every frame of every file. Read-only. */
    public static Inspection check(Disk disk, long nowMillis) throws IOException {
        return look(disk, nowMillis, Recovery.Purpose.VERIFY);
    }

    private static Inspection look(Disk disk, long nowMillis, Recovery.Purpose purpose) throws IOException {
        List<String> findings = new ArrayList<>();
        LogStructuredStore log = LogStructuredStore.open(
                disk, StoreSettings.DEFAULT, EventLog.lines(findings::add), RANDOM::nextLong, nowMillis, purpose);
        try {
            List<SegmentInspection> files = log.catalog().chain().stream()
                    .map(one -> new SegmentInspection(
                            one.name().toString(),
                            one.validBytes(),
                            one.liveBytes(),
                            one.recordCount(),
                            one.latestExpiryMillis(),
                            one.cutOffset()))
                    .toList();
            return new Inspection(
                    files,
                    log.stats(),
                    findings,
                    log.recovered().damages(),
                    log.recovered().cutBytes());
        } finally {
            log.closeFiles();
        }
    }

    /** Gives every entry that lives, in no order, and returns how many could not be read. Changes nothing. */
    public static long dump(Disk disk, long nowMillis, Consumer<Entry> to) throws IOException {
        LogStructuredStore log = LogStructuredStore.open(
                disk, StoreSettings.DEFAULT, EventLog.NONE, RANDOM::nextLong, nowMillis, Recovery.Purpose.READ_ONLY);
        try {
            long[] unread = new long[1];
            for (int table = 0; table < Index.TABLES; table++) {
                List<long[]> places = new ArrayList<>();
                log.catalog().index().copy(table, (hash, at, length, expiry) -> places.add(new long[] {at, length}));
                for (long[] place : places) {
                    Format.Record record = SegmentCatalog.read(
                            log.catalog().byId(Index.file(place[0])), Index.offset(place[0]), (int) place[1]);
                    if (record == null) {
                        unread[0]++;
                    } else if (!SegmentCatalog.hasExpired(record.getExpiresMs(), nowMillis)) {
                        to.accept(new Entry(
                                record.getKey().toByteArray(), record.getValue().toByteArray(), record.getExpiresMs()));
                    }
                }
            }
            return unread[0];
        } finally {
            log.closeFiles();
        }
    }

    /**
     * Rewrites the log without what is dead, and the index with it.
     *
     * @param acceptLoss drops the suspected losses: a key that was lost to damage is then absent, and an older value
     *     of it counts again
     */
    public static Inspection compact(
            Disk disk, StoreSettings settings, long nowMillis, boolean acceptLoss, EventLog events) throws IOException {
        LogStructuredStore log = LogStructuredStore.open(
                disk, settings, events, RANDOM::nextLong, nowMillis, Recovery.Purpose.READ_WRITE);
        boolean done = false;
        try {
            if (acceptLoss) {
                log.acceptLoss();
            }
            log.compactNow(nowMillis, acceptLoss);
            log.finish(nowMillis);
            done = true;
        } finally {
            if (done) {
                log.close();
            } else {
                log.closeFiles();
            }
        }
        return stat(disk, nowMillis);
    }
}

package wheatspread.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import wheatspread.logging.EventLog;

/**
 * Looks up keys. Any thread may call {@link #get}: the index is locked only while the locations of a key are collected,
 * and their segments are kept open until the records have been read.
 */
final class RecordReader {
    private final SegmentCatalog catalog;
    private final EventLog log;

    RecordReader(StoreContext context) {
        catalog = context.catalog();
        log = context.log();
    }

    /** The location of a record in an acquired segment, and whether a newer record may have been lost. */
    private record Location(Segment segment, int offset, int length, boolean inDoubt) {}

    /** Returns the value of a key, or why there is none. */
    Store.ReadResult get(byte[] key, long nowMillis) throws IOException {
        long hash = catalog.hash(key);
        List<Location> found = new ArrayList<>(1);
        boolean absentInDoubt;
        synchronized (catalog.index()) {
            catalog.index()
                    .find(
                            hash,
                            (h, indexLocation, length, expiry) -> found.add(acquire(indexLocation, length, nowMillis)));
            absentInDoubt = catalog.suspectedLosses().suspectsAbsentKey(hash, nowMillis);
        }
        Store.ReadResult result = null;
        for (Location location : found) {
            try {
                if (result == null) {
                    result = read(key, location, nowMillis);
                }
            } finally {
                location.segment().release();
            }
        }
        return result != null ? result : absentInDoubt ? Store.ReadResult.DOUBTFUL : Store.ReadResult.ABSENT;
    }

    private Location acquire(long indexLocation, int length, long nowMillis) {
        Segment segment = catalog.byId(Index.file(indexLocation));
        segment.acquire();
        int offset = Index.offset(indexLocation);
        boolean inDoubt = catalog.suspectedLosses().suspectsEntry(segment.name().first(), offset, nowMillis);
        return new Location(segment, offset, length, inDoubt);
    }

    /** Reads the record at a location; returns null if the record has another key. */
    private Store.ReadResult read(byte[] key, Location location, long nowMillis) throws IOException {
        Format.Record record = SegmentCatalog.read(location.segment(), location.offset(), location.length());
        if (record == null) {
            log.error("store_damage", "file", location.segment().name(), "at", location.offset(), "keys", 1);
            return Store.ReadResult.DOUBTFUL;
        }
        if (!SegmentCatalog.isKey(record, key)) {
            return null;
        }
        if (SegmentCatalog.hasExpired(record.getExpiresMs(), nowMillis)) {
            return location.inDoubt() ? Store.ReadResult.DOUBTFUL : Store.ReadResult.ABSENT;
        }
        return new Store.ReadResult(
                location.inDoubt() ? Store.ReadResult.Kind.DOUBTFUL : Store.ReadResult.Kind.VALUE,
                record.getValue().toByteArray(),
                record.getExpiresMs());
    }
}

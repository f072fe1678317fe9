package wheatspread.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import wheatspread.logging.EventLog;

/**
 * Looks up keys. Any thread may read: the index is locked only while the places of a key are taken from it,
 * and their segments are held open until they have been read.
 */
final class RecordReader {
    private final SegmentCatalog catalog;
    private final EventLog log;

    RecordReader(StoreContext context) {
        catalog = context.catalog();
        log = context.log();
    }

    /** The location of a record, and whether a newer one may have been lost. */
    private record Place(Segment segment, int offset, int length, boolean inDoubt) {}

    /** What the store holds for a key. */
    Store.ReadResult get(byte[] key, long nowMillis) throws IOException {
        long hash = catalog.hash(key);
        List<Place> found = new ArrayList<>(1);
        boolean absentInDoubt;
        synchronized (catalog.index()) {
            catalog.index().find(hash, (h, at, length, expiry) -> found.add(hold(at, length, nowMillis)));
            absentInDoubt = catalog.suspectedLosses().suspectsAbsentKey(hash, nowMillis);
        }
        Store.ReadResult got = null;
        for (Place place : found) {
            try {
                if (got == null) {
                    got = read(key, place, nowMillis);
                }
            } finally {
                place.segment().release();
            }
        }
        return got != null ? got : absentInDoubt ? Store.ReadResult.DOUBTFUL : Store.ReadResult.ABSENT;
    }

    private Place hold(long at, int length, long nowMillis) {
        Segment segment = catalog.byId(Index.file(at));
        segment.acquire();
        int offset = Index.offset(at);
        boolean inDoubt = catalog.suspectedLosses().suspectsEntry(segment.name().first(), offset, nowMillis);
        return new Place(segment, offset, length, inDoubt);
    }

    /** The result for a key from the record at a location; null if the record has another key. */
    private Store.ReadResult read(byte[] key, Place place, long nowMillis) throws IOException {
        Format.Record there = SegmentCatalog.read(place.segment(), place.offset(), place.length());
        if (there == null) {
            log.error("store_damage", "file", place.segment().name(), "at", place.offset(), "keys", 1);
            return Store.ReadResult.DOUBTFUL;
        }
        if (!SegmentCatalog.isKey(there, key)) {
            return null;
        }
        if (SegmentCatalog.hasExpired(there.getExpiresMs(), nowMillis)) {
            return place.inDoubt() ? Store.ReadResult.DOUBTFUL : Store.ReadResult.ABSENT;
        }
        return new Store.ReadResult(
                place.inDoubt() ? Store.ReadResult.Kind.DOUBTFUL : Store.ReadResult.Kind.VALUE,
                there.getValue().toByteArray(),
                there.getExpiresMs());
    }
}

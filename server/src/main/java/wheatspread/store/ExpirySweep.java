package wheatspread.store;

/**
 * Removes expired entries from the index, a part of one table at a time, so that the writer is held up for
 * about as long as a group takes.
 */
final class ExpirySweep {
    private static final int CELLS_AT_ONCE = 8_192;
    private static final long EVERY_MS = 10;

    private final SegmentCatalog catalog;
    private final StoreStats.Counters counters;
    private long sweptAt = Long.MIN_VALUE / 2;
    private int table;
    private int cell;

    ExpirySweep(StoreContext context) {
        catalog = context.catalog();
        counters = context.counters();
    }

    /** Sweeps the next part, if it is time to. */
    void run(long nowMs) {
        if (nowMs - sweptAt < EVERY_MS && nowMs >= sweptAt) {
            return;
        }
        sweptAt = nowMs;
        int nowS = (int) Math.min(0xFFFF_FFFFL, nowMs / 1000);
        synchronized (catalog.index) {
            cell = catalog.index.sweep(table, cell, CELLS_AT_ONCE, nowS, (hash, at, length, expiry) -> {
                catalog.subtractLive(at, length);
                counters.expired++;
            });
            if (cell == 0) {
                table = (table + 1) % Index.TABLES;
            }
            catalog.doubts.age(nowMs);
        }
    }
}

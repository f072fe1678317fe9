package wheatspread.store;

/**
 * Removes expired entries from the index, a part of one table at a time, so that the writer is held up for
 * about as long as a group takes.
 */
final class ExpirySweep {
    private static final int CELLS_PER_SWEEP = 8_192;
    private static final long INTERVAL_MILLIS = 10;

    private final SegmentCatalog catalog;
    private final StoreStats.Counters counters;
    private long lastSweepMillis = Long.MIN_VALUE / 2;
    private int table;
    private int cell;

    ExpirySweep(StoreContext context) {
        catalog = context.catalog();
        counters = context.counters();
    }

    /** Sweeps the next part, if it is time to. */
    void run(long nowMillis) {
        if (nowMillis - lastSweepMillis < INTERVAL_MILLIS && nowMillis >= lastSweepMillis) {
            return;
        }
        lastSweepMillis = nowMillis;
        int nowS = (int) Math.min(0xFFFF_FFFFL, nowMillis / 1000);
        synchronized (catalog.index()) {
            cell = catalog.index().sweep(table, cell, CELLS_PER_SWEEP, nowS, (hash, at, length, expiry) -> {
                catalog.subtractLiveBytes(at, length);
                counters.countExpired();
            });
            if (cell == 0) {
                table = (table + 1) % Index.TABLES;
            }
            catalog.suspectedLosses().removeExpired(nowMillis);
        }
    }
}

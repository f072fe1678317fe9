package wheatspread.store;

/**
 * Removes expired entries from the index, a part of a table at a time, so that a sweep delays the writer for
 * about as long as a group takes.
 */
final class ExpirySweep {
    private static final int CELLS_PER_SWEEP = 8_192;
    private static final long SWEEP_INTERVAL_MILLIS = 10;

    private final SegmentCatalog catalog;
    private final StoreStats.Counters counters;
    private long lastSweepMillis = Long.MIN_VALUE / 2;
    private int table;
    private int cell;

    ExpirySweep(StoreContext context) {
        catalog = context.catalog();
        counters = context.counters();
    }

    /** Sweeps the next part if {@link #SWEEP_INTERVAL_MILLIS} have passed since the last sweep. */
    void run(long nowMillis) {
        if (nowMillis - lastSweepMillis < SWEEP_INTERVAL_MILLIS && nowMillis >= lastSweepMillis) {
            return;
        }
        lastSweepMillis = nowMillis;
        int nowSeconds = (int) Math.min(0xFFFF_FFFFL, nowMillis / 1000);
        synchronized (catalog.index()) {
            cell = catalog.index().sweep(table, cell, CELLS_PER_SWEEP, nowSeconds, (hash, location, length, expiry) -> {
                catalog.subtractLiveBytes(location, length);
                counters.countExpired();
            });
            if (cell == 0) {
                table = (table + 1) % Index.TABLES;
            }
            catalog.suspectedLosses().removeExpired(nowMillis);
        }
    }
}

package wheatspread.store;

import java.util.function.LongSupplier;
import wheatspread.disk.Disk;
import wheatspread.logging.EventLog;

/**
 * What the parts of one open store share.
 *
 * @param random draws the marks of segments
 */
record StoreContext(
        Disk disk,
        StoreSettings settings,
        EventLog log,
        LongSupplier random,
        SegmentCatalog catalog,
        StoreStats.Counters counters) {}

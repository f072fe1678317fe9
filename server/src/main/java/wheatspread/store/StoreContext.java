package wheatspread.store;

import java.util.function.LongSupplier;
import wheatspread.disk.Disk;
import wheatspread.logging.EventLog;

/**
 * The dependencies that the components of an open store share.
 *
 * @param random generates the marks of segments
 */
record StoreContext(
        Disk disk,
        StoreSettings settings,
        EventLog log,
        LongSupplier random,
        SegmentCatalog catalog,
        StoreStats.Counters counters) {}

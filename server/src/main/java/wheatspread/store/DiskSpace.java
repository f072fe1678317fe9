package wheatspread.store;

import java.io.IOException;
import wheatspread.disk.Disk;
import wheatspread.logging.EventLog;

/**
 * The space that a store uses and may still use: rejects writes near its limit ({@link StoreSettings#maxStoreBytes})
 * and while the disk is nearly full. For the writer's thread.
 */
final class DiskSpace {
    private static final long DISK_CHECK_INTERVAL_MILLIS = 1_000;

    private final Disk disk;
    private final StoreSettings settings;
    private final EventLog log;
    private final SegmentCatalog catalog;
    private final AuxiliaryFiles files;
    private final MaintenanceJobs jobs;
    private final WriteState state;
    private long lastDiskCheckMillis = Long.MIN_VALUE / 2;
    private boolean diskHasRoom = true;

    DiskSpace(StoreContext context, AuxiliaryFiles files, MaintenanceJobs jobs, WriteState state) {
        disk = context.disk();
        settings = context.settings();
        log = context.log();
        catalog = context.catalog();
        this.files = files;
        this.jobs = jobs;
        this.state = state;
    }

    /** All files, with what is being written beside them. */
    long usedBytes() {
        return catalog.usedBytes() + jobs.outputBytes() + files.bytes();
    }

    /** Whether this many bytes may be taken in all, beside the reserve. */
    boolean hasRoomFor(long bytes) {
        return bytes + settings.reserveBytes() <= settings.maxStoreBytes();
    }

    /** Has the next {@link #check} ask the disk. */
    void checkDiskNext(long nowMillis) {
        lastDiskCheckMillis = nowMillis - DISK_CHECK_INTERVAL_MILLIS;
    }

    /** Checks whether there is space, and logs a change. */
    void check(long nowMillis) {
        if (nowMillis - lastDiskCheckMillis >= DISK_CHECK_INTERVAL_MILLIS) {
            lastDiskCheckMillis = nowMillis;
            checkDisk();
        }
        boolean wasFull = state.mode() == WriteState.Mode.FULL;
        state.setHasRoom(diskHasRoom && hasRoomFor(usedBytes()));
        boolean isFull = state.mode() == WriteState.Mode.FULL;
        if (wasFull != isFull) {
            log.warn(
                    isFull ? "store_full" : "store_has_room",
                    "used",
                    usedBytes(),
                    "live",
                    catalog.liveBytes(),
                    "max",
                    settings.maxStoreBytes());
        }
    }

    private void checkDisk() {
        try {
            diskHasRoom = disk.free() >= settings.minFreeBytes();
        } catch (IOException e) {
            diskHasRoom = true; // the next write shows
        }
    }
}

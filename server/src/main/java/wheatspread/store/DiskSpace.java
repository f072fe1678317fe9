package wheatspread.store;

import java.io.IOException;
import wheatspread.disk.Disk;
import wheatspread.logging.EventLog;

/**
 * Tracks the space that a store uses and may still use: writes are rejected near the limit ({@link
 * StoreSettings#maxStoreBytes}) and while the disk is nearly full. Confined to the writer thread.
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

    /** Returns the bytes of all files, including the output of the current job. */
    long usedBytes() {
        return catalog.usedBytes() + jobs.outputBytes() + files.bytes();
    }

    /** Returns whether a total of this many bytes, plus the reserve, is within the limit. */
    boolean hasRoomFor(long bytes) {
        return bytes + settings.reserveBytes() <= settings.maxStoreBytes();
    }

    /** Makes the next {@link #check} query the free space of the disk. */
    void checkDiskNext(long nowMillis) {
        lastDiskCheckMillis = nowMillis - DISK_CHECK_INTERVAL_MILLIS;
    }

    /** Updates whether there is space for writes, and logs a change. */
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
            diskHasRoom = true; // the next write reports the failure
        }
    }
}

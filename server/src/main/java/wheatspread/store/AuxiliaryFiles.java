package wheatspread.store;

import java.io.IOException;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import wheatspread.disk.Disk;
import wheatspread.disk.DiskFile;
import wheatspread.logging.EventLog;

/**
 * The files of the folder that are not part of the log: checkpoints, files to be deleted, and damaged files
 * that are kept for an operator. Their sizes count as used space. For the writer's thread alone.
 */
final class AuxiliaryFiles {
    private final Disk disk;
    private final EventLog log;
    private final Set<String> toDelete = new LinkedHashSet<>();
    private final Set<String> toSetAside = new LinkedHashSet<>();
    private final Map<String, Long> sizes = new TreeMap<>();

    AuxiliaryFiles(StoreContext context) {
        disk = context.disk();
        log = context.log();
    }

    /** Counts a file with the size that it has on the disk. */
    void measure(String name) throws IOException {
        try (DiskFile file = disk.open(name)) {
            sizes.put(name, file.size());
        }
    }

    /** Counts a file. */
    void add(String name, long bytes) {
        sizes.put(name, bytes);
    }

    /** Files that may not be there are to be deleted before any other job is run. */
    void delete(Collection<String> names) {
        toDelete.addAll(names);
    }

    /** Schedules a compacted segment for deletion, or for renaming if it is damaged. */
    void retire(Segment rewritten) {
        String name = rewritten.name().toString();
        (rewritten.isDamaged() ? toSetAside : toDelete).add(name);
        add(name, rewritten.validBytes());
        if (rewritten.isDamaged()) {
            log.warn("store_set_aside", "file", name + SegmentName.DAMAGED_SUFFIX);
        }
    }

    /** Whether there is anything to delete or set aside. */
    boolean hasPending() {
        return !toDelete.isEmpty() || !toSetAside.isEmpty();
    }

    /** A job that deletes and sets aside what is to be. */
    DeleteJob deletion() {
        Set<String> all = new LinkedHashSet<>(toDelete);
        all.addAll(toSetAside);
        return new DeleteJob(disk, all, toSetAside);
    }

    /** A job of {@link #deletion} is complete. */
    void completed(DeleteJob deletion) {
        toDelete.removeAll(deletion.names());
        toSetAside.removeAll(deletion.damagedFiles());
        for (String name : deletion.names()) {
            sizes.remove(name);
        }
        for (String name : deletion.damagedFiles()) {
            try {
                measure(name + SegmentName.DAMAGED_SUFFIX);
            } catch (IOException e) {
                log.warn("store_file_lost", "file", name);
            }
        }
    }

    /** The size of all of them. */
    long bytes() {
        long bytes = 0;
        for (long size : sizes.values()) {
            bytes += size;
        }
        return bytes;
    }
}

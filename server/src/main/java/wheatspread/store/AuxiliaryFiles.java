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
 * Tracks the files of the folder that are not part of the log: checkpoints, files scheduled for deletion, and
 * damaged files that are kept for an operator. Their sizes count as used space. Confined to the writer thread.
 */
final class AuxiliaryFiles {
    private final Disk disk;
    private final EventLog log;
    private final Set<String> toDelete = new LinkedHashSet<>();
    private final Set<String> toRename = new LinkedHashSet<>();
    private final Map<String, Long> sizes = new TreeMap<>();

    AuxiliaryFiles(StoreContext context) {
        disk = context.disk();
        log = context.log();
    }

    /** Counts a file with its current size on disk. */
    void measure(String name) throws IOException {
        try (DiskFile file = disk.open(name)) {
            sizes.put(name, file.size());
        }
    }

    /** Counts a file with a known size. */
    void add(String name, long bytes) {
        sizes.put(name, bytes);
    }

    /** Schedules files for deletion before any other job runs. A file that does not exist is skipped. */
    void scheduleDeletion(Collection<String> names) {
        toDelete.addAll(names);
    }

    /** Schedules a compacted segment for deletion, or for renaming if it is damaged. */
    void retire(Segment segment) {
        String name = segment.name().toString();
        (segment.isDamaged() ? toRename : toDelete).add(name);
        add(name, segment.validBytes());
        if (segment.isDamaged()) {
            log.warn("store_set_aside", "file", name + SegmentName.DAMAGED_SUFFIX);
        }
    }

    /** Returns whether a file is scheduled for deletion or renaming. */
    boolean hasPending() {
        return !toDelete.isEmpty() || !toRename.isEmpty();
    }

    /** Creates a job that deletes or renames all scheduled files. */
    DeleteJob createDeleteJob() {
        Set<String> scheduled = new LinkedHashSet<>(toDelete);
        scheduled.addAll(toRename);
        return new DeleteJob(disk, scheduled, toRename);
    }

    /**
     * Handles the completion of a job that {@link #createDeleteJob} created: removes its files from the schedule, and
     * updates the sizes.
     */
    void onCompleted(DeleteJob deletion) {
        toDelete.removeAll(deletion.names());
        toRename.removeAll(deletion.damagedFiles());
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

    /** Returns the total size of the counted files. */
    long bytes() {
        long bytes = 0;
        for (long size : sizes.values()) {
            bytes += size;
        }
        return bytes;
    }
}

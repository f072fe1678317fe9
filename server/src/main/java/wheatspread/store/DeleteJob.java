package wheatspread.store;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import wheatspread.disk.Disk;

/**
 * Deletes files that are no longer needed, and renames damaged files so that an operator can inspect them. The
 * background thread calls {@link #step}, the writer thread all other methods.
 */
final class DeleteJob extends MaintenanceJob {
    private final Disk disk;
    private final Deque<String> remaining;
    private final List<String> names;
    private final Collection<String> damagedFiles;

    DeleteJob(Disk disk, Collection<String> names, Collection<String> damagedFiles) {
        this.disk = disk;
        this.names = List.copyOf(names);
        this.remaining = new ArrayDeque<>(names);
        this.damagedFiles = List.copyOf(damagedFiles);
    }

    @Override
    boolean step() throws IOException {
        if (remaining.isEmpty()) {
            disk.syncNames();
            return false;
        }
        String name = remaining.peek();
        if (!damagedFiles.contains(name)) {
            disk.delete(name);
        } else if (disk.list().contains(name)) {
            disk.rename(name, name + SegmentName.DAMAGED_SUFFIX);
        }
        remaining.poll();
        return true;
    }

    Collection<String> names() {
        return names;
    }

    Collection<String> damagedFiles() {
        return damagedFiles;
    }

    @Override
    boolean install() {
        return false;
    }

    /** Returns all files, so that every deletion is retried. */
    @Override
    List<String> abort() {
        return names;
    }

    @Override
    String kind() {
        return "deletion";
    }

    @Override
    long outputBytes() {
        return 0;
    }
}

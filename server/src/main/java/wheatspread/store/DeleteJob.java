package wheatspread.store;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import wheatspread.disk.Disk;

/**
 * Deletes files that are no longer needed, and renames damaged ones so that an operator can look at them. The
 * background thread calls {@link #step}, the writer's thread the rest.
 */
final class DeleteJob extends MaintenanceJob {
    private final Disk disk;
    private final Deque<String> left;
    private final List<String> names;
    private final Collection<String> damagedFiles;

    DeleteJob(Disk disk, Collection<String> names, Collection<String> damagedFiles) {
        this.disk = disk;
        this.names = List.copyOf(names);
        this.left = new ArrayDeque<>(names);
        this.damagedFiles = List.copyOf(damagedFiles);
    }

    @Override
    boolean step() throws IOException {
        if (left.isEmpty()) {
            disk.syncNames();
            return false;
        }
        String name = left.peek();
        if (!damagedFiles.contains(name)) {
            disk.delete(name);
        } else if (disk.list().contains(name)) {
            disk.rename(name, name + SegmentName.DAMAGED_SUFFIX);
        }
        left.poll();
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

    /** To be tried again, all of it. */
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

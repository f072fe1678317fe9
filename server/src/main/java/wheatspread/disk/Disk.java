package wheatspread.disk;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * A folder of a file system. A test implementation can fail any operation. Written bytes are durable only after {@link
 * DiskFile#sync}, and the creation, renaming or deletion of a file only after {@link #syncNames}. Until then a crash
 * of the machine may keep or lose each change, independently of their order. Every method may block, and may be called
 * from any thread.
 */
public interface Disk {
    /** Returns the names of all files, in no order. */
    List<String> list() throws IOException;

    /** Creates an empty file and opens it for appending; fails if a file of this name exists. */
    DiskFile create(String name) throws IOException;

    /** Opens an existing file for reading and syncing. */
    DiskFile open(String name) throws IOException;

    /** Renames a file atomically; replaces an existing file of the new name. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file if it exists. The file can still be read through open {@link DiskFile}s. */
    void delete(String name) throws IOException;

    /** Makes previous creations, renamings and deletions of files durable. */
    void syncNames() throws IOException;

    /** Returns the bytes that may still be written, as reported by the operating system. */
    long free() throws IOException;

    /**
     * Locks the folder for this process until the result is closed or the process ends.
     *
     * @throws FolderLockedException if the folder is already locked
     */
    Closeable lock() throws IOException;

    /** Thrown if the folder is locked by another process, or by another owner in this process. */
    final class FolderLockedException extends IOException {
        private static final long serialVersionUID = 1L;

        public FolderLockedException(String message) {
            super(message);
        }
    }

    /** Thrown if the disk is full; a part of the bytes may have been written. */
    final class DiskFullException extends IOException {
        private static final long serialVersionUID = 1L;

        public DiskFullException(String message, Throwable cause) {
            super(message, cause);
        }
    }
}

package wheatspread.disk;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * One folder of a file system. A test implementation can fail any step. Written bytes are durable only after {@link
 * DiskFile#sync}, and the creation, renaming or deletion of a file only after
 * {@link #syncNames}; until then a crash of the machine may keep it, lose it or keep a later one alone.
 * Everything may block. Methods may be called from any thread.
 */
public interface Disk {
    /** The names of all files, in no order. */
    List<String> list() throws IOException;

    /** A new file, empty and open to be appended to; a file of this name must not be there. */
    DiskFile create(String name) throws IOException;

    /** A file that is there, to be read and synced. */
    DiskFile open(String name) throws IOException;

    /** Gives a file another name, at once; a file of that name is replaced. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file; whoever has it open may go on reading. Does nothing if there is none. */
    void delete(String name) throws IOException;

    void syncNames() throws IOException;

    /** Bytes that may still be written, as reported by the operating system. */
    long free() throws IOException;

    /**
     * Locks the folder for this process until the result is closed or the process ends.
     *
     * @throws TakenException if another has it
     */
    Closeable lock() throws IOException;

    /** The folder is in use. */
    final class FolderLockedException extends IOException {
        private static final long serialVersionUID = 1L;

        public FolderLockedException(String message) {
            super(message);
        }
    }

    /** The disk is full; what was being written may stand there in part. */
    final class DiskFullException extends IOException {
        private static final long serialVersionUID = 1L;

        public DiskFullException(String message, Throwable cause) {
            super(message, cause);
        }
    }
}

package wheatspread.disk;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * An open, append-only file. Any thread may read; a single thread may append and sync. The owner, which opened the
 * file, must close it.
 */
public interface DiskFile extends Closeable {
    /** Appends all of the bytes; after a failure any part of them may have been written. */
    void append(ByteBuffer bytes) throws IOException;

    /**
     * Reads from an offset until {@code buffer} is full or the file ends.
     *
     * @return the number of bytes read, which is less than the remaining space only at the end of the file
     */
    int read(ByteBuffer buffer, long offset) throws IOException;

    /**
     * Makes all bytes appended before durable, so that they survive a crash of the machine. After a failure it is
     * unknown which unsynced bytes are durable, and a later success does not change that: the operating system may
     * have dropped them (A. Rebello et al., "Can Applications Recover from fsync Failures?", USENIX ATC
     * 2020).
     */
    void sync() throws IOException;

    /** Returns the length of the file in bytes. */
    long size() throws IOException;
}

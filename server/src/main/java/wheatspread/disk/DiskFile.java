package wheatspread.disk;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * An open, append-only file. Reads may come from any thread, appends and syncs from one. Whoever opened it closes
 * it.
 */
public interface DiskFile extends Closeable {
    /** Writes all of the bytes at the end; after a failure any part of them may stand there. */
    void append(ByteBuffer bytes) throws IOException;

    /**
     * Reads from {@code at} on until {@code to} is full or the file ends.
     *
     * @return the bytes read; fewer than there was room for only at the end
     */
    int read(ByteBuffer to, long at) throws IOException;

    /**
     * When it returns, all that was appended before outlives a crash of the machine. After a failure
     * nothing is known of what was not synced, and a later success does not change that: the system may
     * have dropped it (A. Rebello et al., "Can Applications Recover from fsync Failures?", USENIX ATC
     * 2020).
     */
    void sync() throws IOException;

    long size() throws IOException;
}

package wheatspread.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import wheatspread.disk.DiskFile;

/** A file read from its begin to its end through one buffer, which grows with the longest frame. */
final class ReadWindow {
    private static final int USUAL = 256 << 10;

    private final DiskFile file;
    private final long end;
    private ByteBuffer bytes = ByteBuffer.allocate(0);
    private long from;
    private long read;

    /** @param end what is behind it is taken as not there */
    ReadWindow(DiskFile file, long end) {
        this.file = file;
        this.end = end;
    }

    long end() {
        return end;
    }

    /** Bytes read from the file so far. */
    long read() {
        return read;
    }

    /** What stands from a place on: at least {@code least} bytes, or all up to the end. */
    ByteBuffer at(long at, int least) throws IOException {
        long wanted = Math.max(0, Math.min(least, end - at));
        if (at < from || at + wanted > from + bytes.limit()) {
            int size = (int) Math.max(wanted, Math.min(USUAL, Math.max(0, end - at)));
            bytes = bytes.capacity() >= size ? bytes.clear().limit(size) : ByteBuffer.allocate(size);
            read += file.read(bytes, at);
            bytes.flip();
            from = at;
        }
        return bytes.slice((int) (at - from), bytes.limit() - (int) (at - from));
    }
}

package wheatspread.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import wheatspread.disk.DiskFile;

/**
 * Reads a file from its start to its end through one buffer, which grows with the longest frame. For one
 * thread; does not close the file.
 */
final class ReadWindow {
    private static final int DEFAULT_BUFFER_BYTES = 256 << 10;

    private final DiskFile file;
    private final long endOffset;
    private ByteBuffer buffer = ByteBuffer.allocate(0);
    private long bufferOffset;
    private long bytesRead;

    /** @param end the offset at which reading stops, even if the file is longer */
    ReadWindow(DiskFile file, long end) {
        this.file = file;
        this.endOffset = end;
    }

    long endOffset() {
        return endOffset;
    }

    /** Bytes read from the file so far. */
    long bytesRead() {
        return bytesRead;
    }

    /** The bytes from an offset on: at least {@code minBytes} of them, or all up to the end. */
    ByteBuffer bytesAt(long at, int minBytes) throws IOException {
        long wanted = Math.max(0, Math.min(minBytes, endOffset - at));
        if (at < bufferOffset || at + wanted > bufferOffset + buffer.limit()) {
            int size = (int) Math.max(wanted, Math.min(DEFAULT_BUFFER_BYTES, Math.max(0, endOffset - at)));
            buffer = buffer.capacity() >= size ? buffer.clear().limit(size) : ByteBuffer.allocate(size);
            bytesRead += file.read(buffer, at);
            buffer.flip();
            bufferOffset = at;
        }
        return buffer.slice((int) (at - bufferOffset), buffer.limit() - (int) (at - bufferOffset));
    }
}

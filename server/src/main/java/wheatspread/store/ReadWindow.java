package wheatspread.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import wheatspread.disk.DiskFile;

/**
 * Reads a file sequentially through a buffer, which grows to the length of the longest frame. Not thread-safe;
 * does not close the file.
 */
final class ReadWindow {
    private static final int DEFAULT_BUFFER_BYTES = 256 << 10;

    private final DiskFile file;
    private final long endOffset;
    private ByteBuffer buffer = ByteBuffer.allocate(0);
    private long bufferOffset;
    private long bytesRead;

    /** @param endOffset the offset at which reading stops, even if the file is longer */
    ReadWindow(DiskFile file, long endOffset) {
        this.file = file;
        this.endOffset = endOffset;
    }

    long endOffset() {
        return endOffset;
    }

    /** Returns the bytes read from the file so far. */
    long bytesRead() {
        return bytesRead;
    }

    /** Returns the bytes at an offset: at least {@code minBytes}, or fewer if the end is nearer. */
    ByteBuffer bytesAt(long offset, int minBytes) throws IOException {
        long requiredBytes = Math.max(0, Math.min(minBytes, endOffset - offset));
        if (offset < bufferOffset || offset + requiredBytes > bufferOffset + buffer.limit()) {
            int size = (int) Math.max(requiredBytes, Math.min(DEFAULT_BUFFER_BYTES, Math.max(0, endOffset - offset)));
            buffer = buffer.capacity() >= size ? buffer.clear().limit(size) : ByteBuffer.allocate(size);
            bytesRead += file.read(buffer, offset);
            buffer.flip();
            bufferOffset = offset;
        }
        return buffer.slice((int) (offset - bufferOffset), buffer.limit() - (int) (offset - bufferOffset));
    }
}

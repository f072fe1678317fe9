package wheatspread.store;

import java.io.IOException;

/** Work beside the writer's, done piece by piece on another thread, and ended on the writer's. */
abstract class MaintenanceJob {
    /** Bytes read and written by the last piece. */
    private long bytesMoved;

    /** Bytes read and written by the last {@link #step}. */
    final long bytesMoved() {
        return bytesMoved;
    }

    final void resetBytesMoved() {
        bytesMoved = 0;
    }

    final void addBytesMoved(long bytes) {
        bytesMoved += bytes;
    }

    /** Does a piece; false when all is done. */
    abstract boolean step() throws IOException;

    /** Ends it on the writer's thread, a piece at a time; false when all is done. */
    abstract boolean install();

    /** Gives up what it holds, after a failure; the names that must be deleted before any other job. */
    abstract java.util.List<String> abort();

    abstract String kind();

    /** Bytes that it takes on the disk beside the files of the log. */
    abstract long outputBytes();
}

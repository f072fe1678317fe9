package wheatspread.store;

import java.io.IOException;

/**
 * Maintenance work that one thread does step by step ({@link #step}) and the writer's thread completes ({@link
 * #install}). At any time only one thread uses a job; {@link WriterQueue} hands it over.
 */
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

package wheatspread.store;

import java.io.IOException;

/**
 * Maintenance work whose steps run on the background thread ({@link #step}) and whose result is installed by the writer
 * thread ({@link #install}). Only one thread uses a job at any time; {@link WriterQueue} transfers the job between
 * them.
 */
abstract class MaintenanceJob {
    private long bytesMoved;

    /** Returns the bytes read and written by the last {@link #step}. */
    final long bytesMoved() {
        return bytesMoved;
    }

    final void resetBytesMoved() {
        bytesMoved = 0;
    }

    final void addBytesMoved(long bytes) {
        bytesMoved += bytes;
    }

    /** Runs the next step; returns false when all steps are done. */
    abstract boolean step() throws IOException;

    /** Installs the next part of the result, on the writer thread; returns false when all parts are installed. */
    abstract boolean install();

    /** Releases the files of the job after a failure; returns the names to delete before any other job starts. */
    abstract java.util.List<String> abort();

    abstract String kind();

    /** Returns the bytes that the job has written to files that are not part of the log yet. */
    abstract long outputBytes();
}

package wheatspread.transport;

/** The progress of one lingering close; exists only while a connection ends. */
final class LingeringClose {
    /** A caller that sends more after the last answer is cut off. */
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;
    /** How often a caller that takes its answers slowly gets the time limit again. */
    private static final int MAX_EXTENSIONS = 4;

    private boolean outputShutDown;
    private int discardedBytes;
    private int extensions;
    private long lastPendingBytes = Long.MAX_VALUE;

    void outputShutDown() {
        outputShutDown = true;
    }

    boolean isOutputShutDown() {
        return outputShutDown;
    }

    /** Counts input that is discarded; returns whether the caller may send more. */
    boolean mayDiscard(int bytes) {
        discardedBytes += bytes;
        return discardedBytes <= MAX_DISCARDED_BYTES;
    }

    /** Returns whether fewer bytes are pending than at the last call, which extends the time limit. */
    boolean madeProgress(long pendingBytes) {
        boolean progress = pendingBytes > 0 && pendingBytes < lastPendingBytes && extensions++ < MAX_EXTENSIONS;
        lastPendingBytes = pendingBytes;
        return progress;
    }
}

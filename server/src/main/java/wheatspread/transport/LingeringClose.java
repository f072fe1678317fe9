package wheatspread.transport;

/** The state of the lingering close of one connection; allocated only when the close begins. */
final class LingeringClose {
    /** A client that sends more bytes than this after the last answer is disconnected. */
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;
    /** The time limit of a client that reads its answers slowly is restarted at most this many times. */
    private static final int MAX_TIMEOUT_EXTENSIONS = 4;

    private boolean outputShutDown;
    private int discardedBytes;
    private int extensions;
    private long lastPendingBytes = Long.MAX_VALUE;

    void markOutputShutDown() {
        outputShutDown = true;
    }

    boolean isOutputShutDown() {
        return outputShutDown;
    }

    /** Counts discarded input and returns whether the client may send more. */
    boolean countDiscarded(int bytes) {
        discardedBytes += bytes;
        return discardedBytes <= MAX_DISCARDED_BYTES;
    }

    /**
     * Counts an extension of the time limit, and returns true, if fewer bytes are pending than at the last call.
     * Returns false otherwise, and after {@link #MAX_TIMEOUT_EXTENSIONS} extensions.
     */
    boolean checkProgress(long pendingBytes) {
        boolean progress = pendingBytes > 0 && pendingBytes < lastPendingBytes && extensions++ < MAX_TIMEOUT_EXTENSIONS;
        lastPendingBytes = pendingBytes;
        return progress;
    }
}

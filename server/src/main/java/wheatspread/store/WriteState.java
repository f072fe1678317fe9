package wheatspread.store;

/**
 * Tracks whether the store accepts writes. After a failure nothing is written until a new segment records where the
 * failed segment ends; attempts to create this segment are delayed with exponential backoff. Confined to the writer
 * thread. No I/O, no clock; times are milliseconds.
 */
public final class WriteState {
    static final long MIN_RETRY_DELAY_MILLIS = 50;
    static final long MAX_RETRY_DELAY_MILLIS = 5_000;

    /** Whether writes are accepted. */
    public enum Mode {
        OPEN,
        /** The size limit is reached, or the disk has too little free space; deletions are accepted. */
        FULL,
        /** A write, a sync or the creation of a file failed. */
        FAILED
    }

    private boolean failed;
    /** Whether the last failure was a lack of disk space. */
    private boolean failedForSpace;
    /** Whether the last check found no space for writes. */
    private boolean noRoom;

    private long retryDelayMillis;
    private long retryAtMillis;
    private long failures;

    Mode mode() {
        return failed && !failedForSpace ? Mode.FAILED : failed || noRoom ? Mode.FULL : Mode.OPEN;
    }

    /** Returns whether the end of a failed segment has not been recorded yet. */
    boolean mustRecover() {
        return failed;
    }

    long failures() {
        return failures;
    }

    void markFailed(long nowMillis, boolean isDiskFull) {
        failures++;
        failed = true;
        failedForSpace = isDiskFull;
        retryDelayMillis =
                retryDelayMillis == 0 ? MIN_RETRY_DELAY_MILLIS : Math.min(MAX_RETRY_DELAY_MILLIS, retryDelayMillis * 2);
        retryAtMillis = nowMillis + retryDelayMillis;
    }

    boolean mayRetry(long nowMillis) {
        return failed && nowMillis >= retryAtMillis;
    }

    /** Returns when to retry, or {@link Long#MAX_VALUE} if nothing failed. */
    long retryAtMillis() {
        return failed ? retryAtMillis : Long.MAX_VALUE;
    }

    void markRecovered() {
        failed = false;
        failedForSpace = false;
        retryDelayMillis = 0;
    }

    /** Sets whether the last check found space for writes. */
    void setHasRoom(boolean hasRoom) {
        noRoom = !hasRoom;
    }
}

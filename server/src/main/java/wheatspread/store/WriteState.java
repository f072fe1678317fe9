package wheatspread.store;

/**
 * Whether the store accepts writes. After a failure nothing is written until a new segment records where the
 * failed one ends; attempts at that are spaced out with exponential backoff. For the writer's thread. No I/O,
 * no clock; times are milliseconds.
 */
public final class WriteState {
    static final long MIN_RETRY_DELAY_MILLIS = 50;
    static final long MAX_RETRY_DELAY_MILLIS = 5_000;

    /** What a writer may do now. */
    public enum Mode {
        OPEN,
        /** The limit on space is reached, or the disk has too little free space. */
        FULL,
        /** A write, a sync or a new file failed. */
        FAILED
    }

    private boolean failed;
    private boolean diskFull;
    private boolean full;
    private long retryDelayMillis;
    private long retryAtMillis;
    private long failures;

    Mode mode() {
        return failed && !diskFull ? Mode.FAILED : failed || full ? Mode.FULL : Mode.OPEN;
    }

    /** Whether the end of the failed segment has still to be recorded. */
    boolean mustRecover() {
        return failed;
    }

    long failures() {
        return failures;
    }

    void failed(long now, boolean spaceIsMissing) {
        failures++;
        failed = true;
        diskFull = spaceIsMissing;
        retryDelayMillis =
                retryDelayMillis == 0 ? MIN_RETRY_DELAY_MILLIS : Math.min(MAX_RETRY_DELAY_MILLIS, retryDelayMillis * 2);
        retryAtMillis = now + retryDelayMillis;
    }

    boolean mayRetry(long now) {
        return failed && now >= retryAtMillis;
    }

    /** When to try again, or a time that never comes. */
    long retryAtMillis() {
        return failed ? retryAtMillis : Long.MAX_VALUE;
    }

    void recovered() {
        failed = false;
        diskFull = false;
        retryDelayMillis = 0;
    }

    /** Sets whether there is space, as of the last check. */
    void setHasRoom(boolean hasRoom) {
        full = !hasRoom;
    }
}

package wheatspread.store;

/**
 * Whether the store takes writes. After a failure nothing is written until a new segment stands that says
 * where the failed one ends; attempts at that are spaced out. No I/O, no clock; times are milliseconds.
 */
public final class WriteState {
    static final long FIRST_PAUSE = 50;
    static final long LONGEST_PAUSE = 5_000;

    /** What a writer may do now. */
    public enum Mode {
        OPEN,
        /** The bound on space is reached, or the disk has too little left. */
        FULL,
        /** A write, a sync or a new file failed. */
        FAILED
    }

    private boolean failed;
    private boolean noSpace;
    private boolean full;
    private long pause;
    private long retryAt;
    private long failures;

    Mode mode() {
        return failed && !noSpace ? Mode.FAILED : failed || full ? Mode.FULL : Mode.OPEN;
    }

    /** Whether the failed segment has still to be ended. */
    boolean mustRecover() {
        return failed;
    }

    long failures() {
        return failures;
    }

    void failed(long now, boolean spaceIsMissing) {
        failures++;
        failed = true;
        noSpace = spaceIsMissing;
        pause = pause == 0 ? FIRST_PAUSE : Math.min(LONGEST_PAUSE, pause * 2);
        retryAt = now + pause;
    }

    boolean mayRetry(long now) {
        return failed && now >= retryAt;
    }

    /** When to try again, or a time that never comes. */
    long retryAt() {
        return failed ? retryAt : Long.MAX_VALUE;
    }

    void recovered() {
        failed = false;
        noSpace = false;
        pause = 0;
    }

    /** Whether there is room, as last looked at. */
    void setHasRoom(boolean hasRoom) {
        full = !hasRoom;
    }
}

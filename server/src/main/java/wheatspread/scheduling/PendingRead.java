package wheatspread.scheduling;

/** A connection with something to read, as {@link ReadScheduler} queues it. */
public abstract class PendingRead {
    PendingRead next;
    boolean sleeper;
    int queue = ReadScheduler.NONE;

    /** Whether it waits to be read. */
    public final boolean isQueued() {
        return queue != ReadScheduler.NONE;
    }

    /** Whether it was queued as a sleeper when it was queued last. */
    public final boolean isSleeper() {
        return sleeper;
    }

    /** Whether requests are open on it. */
    protected abstract boolean hasOpenRequests();

    /** When it was last used; microseconds. */
    protected abstract long usedAt();
}

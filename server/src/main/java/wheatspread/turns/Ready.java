package wheatspread.turns;

/** A connection with something to read, as {@link ReadOrder} queues it. */
public abstract class Ready {
    Ready next;
    boolean sleeper;
    int queue = ReadOrder.NONE;

    /** Whether it waits to be read. */
    public final boolean isQueued() {
        return queue != ReadOrder.NONE;
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

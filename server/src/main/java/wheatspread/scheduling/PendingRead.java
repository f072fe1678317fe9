package wheatspread.scheduling;

/**
 * A connection that may have something to read, as a node of {@link ReadScheduler}'s queues. Subclasses know
 * the connection; the scheduler alone changes the node.
 */
public abstract class PendingRead {
    private PendingRead next;
    private boolean idle;
    private int queue = ReadScheduler.NOT_QUEUED;

    /** Whether it waits to be read. */
    public final boolean isQueued() {
        return queue != ReadScheduler.NOT_QUEUED;
    }

    /** Whether the connection counted as idle when it was queued last. */
    public final boolean wasIdle() {
        return idle;
    }

    /** Whether requests are open on the connection. */
    protected abstract boolean hasOpenRequests();

    /** When the connection was used last. */
    protected abstract long lastUsedMicros();

    final void enqueued(int inQueue, boolean asIdle) {
        queue = inQueue;
        idle = asIdle;
    }

    final void dequeued() {
        queue = ReadScheduler.NOT_QUEUED;
        next = null;
    }

    /** The next one in the same queue; null for the last one. */
    final PendingRead next() {
        return next;
    }

    final void linkNext(PendingRead following) {
        next = following;
    }
}

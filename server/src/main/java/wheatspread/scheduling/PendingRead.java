package wheatspread.scheduling;

/**
 * A connection that may have input to read, and a node of the queues of {@link ReadScheduler}. Subclasses
 * provide access to the connection; only the scheduler changes the node. Used on the event loop only.
 */
public abstract class PendingRead {
    private PendingRead next;
    private boolean idle;
    private int queue = ReadScheduler.NOT_QUEUED;

    /** Returns whether the connection is in a queue of the scheduler. */
    public final boolean isQueued() {
        return queue != ReadScheduler.NOT_QUEUED;
    }

    /** Returns whether the connection counted as idle when it was last queued. */
    public final boolean wasIdle() {
        return idle;
    }

    /** Returns whether the connection has requests that are not answered yet. */
    protected abstract boolean hasOpenRequests();

    /** Returns the time of last use in microseconds, by the clock that the scheduler is called with. */
    protected abstract long lastUsedMicros();

    final void markQueued(int queue, boolean idle) {
        this.queue = queue;
        this.idle = idle;
    }

    final void markDequeued() {
        queue = ReadScheduler.NOT_QUEUED;
        next = null;
    }

    /** Returns the next node in the same queue; null for the last node. */
    final PendingRead next() {
        return next;
    }

    final void linkNext(PendingRead next) {
        this.next = next;
    }
}

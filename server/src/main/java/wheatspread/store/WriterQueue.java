package wheatspread.store;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The queue between the threads of a store: pending writes, and the maintenance job that the writer offers to the
 * background thread and receives back when its steps are done. The object's lock guards both, because the writer waits
 * for either; the lock is never held during I/O. Any thread may call {@link #add}. The queue is bounded by {@link
 * StoreSettings#maxQueuedRecords} and {@link StoreSettings#maxQueuedBytes}.
 */
final class WriterQueue {
    private static final long MAX_WAIT_MILLIS = 1_000;

    /**
     * A job whose steps are done.
     *
     * @param failure the exception of the step that failed, or null
     */
    record FinishedJob(MaintenanceJob job, IOException failure) {}

    private final StoreSettings settings;
    private final Store.Clock clock;
    private final Deque<Write> writes = new ArrayDeque<>();
    private long pendingBytes;
    private int rejectedWrites;
    private boolean closing;
    private MaintenanceJob offered;
    private FinishedJob finished;

    WriterQueue(StoreSettings settings, Store.Clock clock) {
        this.settings = settings;
        this.clock = clock;
    }

    // ---- writes ----

    /** Enqueues all writes of a batch, or none; returns null if they are accepted. */
    synchronized Store.Rejection add(List<Write> batch, long bytes) {
        if (closing) {
            return Store.Rejection.CLOSED;
        }
        if (writes.size() + batch.size() > settings.maxQueuedRecords()
                || pendingBytes + bytes > settings.maxQueuedBytes()) {
            rejectedWrites += batch.size();
            return Store.Rejection.QUEUE_FULL;
        }
        pendingBytes += bytes;
        boolean wasEmpty = writes.isEmpty();
        writes.addAll(batch);
        if (wasEmpty) {
            notifyAll();
        }
        return null;
    }

    /**
     * Waits until a write is pending, a job is finished, the queue is closed, or {@code dueMillis} is reached. Then
     * moves pending writes, up to the limits of a group, into {@code group}.
     *
     * @return whether the queue is closed and empty
     */
    synchronized boolean takeGroup(List<Write> group, long dueMillis) {
        while (writes.isEmpty() && !closing && finished == null && clock.nowMillis() < dueMillis) {
            await(this, Math.max(1, dueMillis - clock.nowMillis()));
        }
        long bytes = 0;
        while (!writes.isEmpty()
                && group.size() < settings.maxGroupRecords()
                && (group.isEmpty() || bytes + writes.peek().size() <= settings.maxGroupBytes())) {
            Write next = writes.poll();
            bytes += next.size();
            group.add(next);
        }
        pendingBytes -= bytes;
        return closing && writes.isEmpty();
    }

    /** Returns the state of this queue, combined with the number of pending reads. */
    synchronized Store.QueueStats stats(int pendingReads) {
        return new Store.QueueStats(writes.size(), pendingBytes, pendingReads, rejectedWrites);
    }

    // ---- the current job ----

    /** Returns whether a job may be offered: no job is in progress and the queue is open. */
    synchronized boolean acceptsJob() {
        return !closing && offered == null && finished == null;
    }

    /** Offers a job to the background thread. */
    synchronized void offerJob(MaintenanceJob job) {
        offered = job;
        notifyAll();
    }

    /** Waits for a job and returns it; returns null when the store is closed. */
    synchronized MaintenanceJob awaitJob() {
        while (offered == null && !closing) {
            await(this, MAX_WAIT_MILLIS);
        }
        return closing ? null : offered;
    }

    /** Returns the offered job, whose steps are done, to the writer. */
    synchronized void finishJob(FinishedJob done) {
        offered = null;
        finished = done;
        notifyAll();
    }

    /** Removes and returns the finished job, or returns null if there is none. */
    synchronized FinishedJob pollFinishedJob() {
        FinishedJob done = finished;
        finished = null;
        return done;
    }

    // ---- closing ----

    synchronized boolean isClosing() {
        return closing;
    }

    /** Rejects further writes and jobs; returns false if the queue was already closed. */
    synchronized boolean close() {
        boolean first = !closing;
        closing = true;
        notifyAll();
        return first;
    }

    /** Closes the queue and drops pending writes without calling their callbacks. */
    synchronized void abandon() {
        writes.clear();
        close();
    }

    /** Waits on a monitor that the caller holds, for at most a number of milliseconds. */
    static void await(Object monitor, long millis) {
        try {
            monitor.wait(millis);
        } catch (InterruptedException e) {
            // the threads of a store are never interrupted; they end when the store is closed
            Thread.currentThread().interrupt();
        }
    }
}

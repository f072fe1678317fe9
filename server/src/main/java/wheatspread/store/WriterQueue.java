package wheatspread.store;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The queue between the threads of a store: writes that wait for the writer, and the maintenance job that the
 * writer offers to the background thread and gets back when its steps are done. One lock, the object's, guards
 * both, since the writer waits for either; it is never held over I/O. Any thread may call {@link #add}. Bounds:
 * {@link StoreSettings#maxQueuedRecords} and {@link StoreSettings#maxQueuedBytes}.
 */
final class WriterQueue {
    private static final long MAX_WAIT_MILLIS = 1_000;

    /**
     * A job whose steps are over.
     *
     * @param failure null unless a step failed
     */
    record FinishedJob(MaintenanceJob job, IOException failure) {}

    private final StoreSettings settings;
    private final Store.Clock time;
    private final Deque<Write> writes = new ArrayDeque<>();
    private long waitingBytes;
    private int rejectedWrites;
    private boolean closing;
    private MaintenanceJob offered;
    private FinishedJob finished;

    WriterQueue(StoreSettings settings, Store.Clock time) {
        this.settings = settings;
        this.time = time;
    }

    // ---- writes ----

    /** Accepts all of these writes, or none; returns null if they are accepted. */
    synchronized Store.Rejection add(List<Write> batch, long bytes) {
        if (closing) {
            return Store.Rejection.CLOSED;
        }
        if (writes.size() + batch.size() > settings.maxQueuedRecords()
                || waitingBytes + bytes > settings.maxQueuedBytes()) {
            rejectedWrites += batch.size();
            return Store.Rejection.QUEUE_FULL;
        }
        waitingBytes += bytes;
        boolean idle = writes.isEmpty();
        writes.addAll(batch);
        if (idle) {
            notifyAll();
        }
        return null;
    }

    /**
     * Waits until there is a write, a finished job, an end, or the time {@code dueMillis}, and takes what makes a
     * group; true when it was the last.
     */
    synchronized boolean takeGroup(List<Write> group, long dueMillis) {
        while (writes.isEmpty() && !closing && finished == null && time.nowMillis() < dueMillis) {
            await(this, Math.max(1, dueMillis - time.nowMillis()));
        }
        long bytes = 0;
        while (!writes.isEmpty()
                && group.size() < settings.maxGroupRecords()
                && (group.isEmpty() || bytes + writes.peek().size() <= settings.maxGroupBytes())) {
            Write next = writes.poll();
            bytes += next.size();
            group.add(next);
        }
        waitingBytes -= bytes;
        return closing && writes.isEmpty();
    }

    /** What waits here, beside so many reads that wait elsewhere. */
    synchronized Store.Waiting waiting(int reads) {
        return new Store.Waiting(writes.size(), waitingBytes, reads, rejectedWrites);
    }

    // ---- the current job ----

    /** Whether a job may be offered now: one at a time, and none at the end. */
    synchronized boolean acceptsJob() {
        return !closing && offered == null && finished == null;
    }

    /** Offers a job to the background thread. */
    synchronized void offerJob(MaintenanceJob job) {
        offered = job;
        notifyAll();
    }

    /** Waits for a job and returns it; null when the store closes. */
    synchronized MaintenanceJob awaitJob() {
        while (offered == null && !closing) {
            await(this, MAX_WAIT_MILLIS);
        }
        return closing ? null : offered;
    }

    /** The steps of the offered job are over. */
    synchronized void finishJob(FinishedJob done) {
        offered = null;
        finished = done;
        notifyAll();
    }

    /** The job whose steps are over, once; null if there is none. */
    synchronized FinishedJob pollFinishedJob() {
        FinishedJob done = finished;
        finished = null;
        return done;
    }

    // ---- the end ----

    synchronized boolean isClosing() {
        return closing;
    }

    /** Takes nothing more; false if it was closed before. */
    synchronized boolean close() {
        boolean first = !closing;
        closing = true;
        notifyAll();
        return first;
    }

    /** Takes nothing more, and drops what waits. */
    synchronized void abandon() {
        writes.clear();
        close();
    }

    /** Waits on a monitor that the caller holds. */
    static void await(Object monitor, long ms) {
        try {
            monitor.wait(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // nobody interrupts these threads: they end by close
        }
    }
}

package wheatspread.store;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import wheatspread.logging.EventLog;

/**
 * The loop of the reader thread, and the bounded queue of pending reads. {@link #add}, {@link #stop} and {@link
 * #abandon} may be called from any thread; the lock is never held during I/O.
 */
final class ReaderLoop implements Runnable {
    private static final int MAX_READS_PER_BATCH = 256;
    private static final long MAX_WAIT_MILLIS = 1_000;

    private record PendingRead(byte[] key, Consumer<Store.ReadResult> callback) {}

    private final LogStructuredStore store;
    private final StoreSettings settings;
    private final Store.Clock clock;
    private final Executor callbacks;
    private final EventLog log;
    /** Guards {@link #reads} and {@link #stopped}. */
    private final Object lock = new Object();

    private final Deque<PendingRead> reads = new ArrayDeque<>();
    private boolean stopped;

    ReaderLoop(LogStructuredStore store, StoreSettings settings, Store.Clock clock, Executor callbacks, EventLog log) {
        this.store = store;
        this.settings = settings;
        this.clock = clock;
        this.callbacks = callbacks;
        this.log = log;
    }

    /** Enqueues a read; returns null if it is accepted. */
    Store.Rejection add(byte[] key, Consumer<Store.ReadResult> callback) {
        synchronized (lock) {
            if (stopped) {
                return Store.Rejection.CLOSED;
            }
            if (reads.size() >= settings.maxQueuedRecords()) {
                return Store.Rejection.QUEUE_FULL;
            }
            reads.add(new PendingRead(key, callback));
            lock.notifyAll();
        }
        return null;
    }

    /** Returns the number of pending reads. */
    int pendingReads() {
        synchronized (lock) {
            return reads.size();
        }
    }

    /** Rejects further reads, and ends the loop once all pending reads are complete. */
    void stop() {
        synchronized (lock) {
            stopped = true;
            lock.notifyAll();
        }
    }

    /** Rejects further reads, and drops pending reads without calling their callbacks. */
    void abandon() {
        synchronized (lock) {
            reads.clear();
            stop();
        }
    }

    @Override
    public void run() {
        for (List<PendingRead> batch = takeBatch(); !batch.isEmpty(); batch = takeBatch()) {
            List<Runnable> notifications = new ArrayList<>(batch.size());
            for (PendingRead read : batch) {
                Store.ReadResult result = lookUp(read.key());
                notifications.add(() -> read.callback().accept(result));
            }
            callbacks.execute(() -> notifications.forEach(Runnable::run));
        }
    }

    /** Waits for reads and removes a batch from the queue; empty once the loop has been stopped. */
    private List<PendingRead> takeBatch() {
        List<PendingRead> batch = new ArrayList<>();
        synchronized (lock) {
            while (reads.isEmpty() && !stopped) {
                WriterQueue.await(lock, MAX_WAIT_MILLIS);
            }
            while (!reads.isEmpty() && batch.size() < MAX_READS_PER_BATCH) {
                batch.add(reads.poll());
            }
        }
        return batch;
    }

    private Store.ReadResult lookUp(byte[] key) {
        try {
            return store.get(key, clock.nowMillis());
        } catch (IOException | RuntimeException e) {
            log.error("store_read_failed", "reason", e.toString());
            return Store.ReadResult.FAILED;
        }
    }
}

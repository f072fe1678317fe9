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
 * The reader's thread and the bounded queue of reads that wait for it. {@link #add}, {@link #stop} and {@link
 * #abandon} may be called from any thread; the object's lock is never held over I/O.
 */
final class ReaderLoop implements Runnable {
    private static final int MAX_READS_PER_BATCH = 256;
    private static final long MAX_WAIT_MILLIS = 1_000;

    private record PendingRead(byte[] key, Consumer<Store.ReadResult> to) {}

    private final LogStructuredStore files;
    private final StoreSettings settings;
    private final Store.Clock time;
    private final Executor callbacks;
    private final EventLog log;
    /** Guards what follows. */
    private final Object lock = new Object();

    private final Deque<PendingRead> reads = new ArrayDeque<>();
    private boolean stopped;

    ReaderLoop(LogStructuredStore files, StoreSettings settings, Store.Clock time, Executor callbacks, EventLog log) {
        this.files = files;
        this.settings = settings;
        this.time = time;
        this.callbacks = callbacks;
        this.log = log;
    }

    /** Accepts a read; returns null if it is accepted. */
    Store.Rejection add(byte[] key, Consumer<Store.ReadResult> to) {
        synchronized (lock) {
            if (stopped) {
                return Store.Rejection.CLOSED;
            }
            if (reads.size() >= settings.maxQueuedRecords()) {
                return Store.Rejection.QUEUE_FULL;
            }
            reads.add(new PendingRead(key, to));
            lock.notifyAll();
        }
        return null;
    }

    /** How many reads wait. */
    int waiting() {
        synchronized (lock) {
            return reads.size();
        }
    }

    /** Rejects further reads, and ends the thread once all waiting ones are done. */
    void stop() {
        synchronized (lock) {
            stopped = true;
            lock.notifyAll();
        }
    }

    /** Takes nothing more, and drops what waits. */
    void abandon() {
        synchronized (lock) {
            reads.clear();
            stop();
        }
    }

    @Override
    public void run() {
        for (List<PendingRead> some = take(); !some.isEmpty(); some = take()) {
            List<Runnable> notifications = new ArrayList<>(some.size());
            for (PendingRead read : some) {
                Store.ReadResult got = got(read.key());
                notifications.add(() -> read.to().accept(got));
            }
            callbacks.execute(() -> notifications.forEach(Runnable::run));
        }
    }

    /** Waits for reads and takes some; none at the end. */
    private List<PendingRead> take() {
        List<PendingRead> some = new ArrayList<>();
        synchronized (lock) {
            while (reads.isEmpty() && !stopped) {
                WriterQueue.await(lock, MAX_WAIT_MILLIS);
            }
            while (!reads.isEmpty() && some.size() < MAX_READS_PER_BATCH) {
                some.add(reads.poll());
            }
        }
        return some;
    }

    private Store.ReadResult got(byte[] key) {
        try {
            return files.get(key, time.nowMillis());
        } catch (IOException | RuntimeException e) {
            log.error("store_read_failed", "reason", e.toString());
            return Store.ReadResult.FAILED;
        }
    }
}

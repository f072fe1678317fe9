package wheatspread.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import wheatspread.logging.EventLog;

/**
 * The loop of the writer thread: commits groups of writes, starts maintenance jobs and installs their results. Only
 * this thread appends to and syncs the active segment. The loop ends when {@link WriterQueue} is closed and empty.
 */
final class WriterLoop implements Runnable {
    private final LogStructuredStore store;
    private final WriterQueue queue;
    private final Store.Clock clock;
    private final Executor callbacks;
    private final EventLog log;
    private volatile WriteState.Mode mode = WriteState.Mode.OPEN;
    private volatile StoreStats stats;

    WriterLoop(LogStructuredStore store, WriterQueue queue, Store.Clock clock, Executor callbacks, EventLog log) {
        this.store = store;
        this.queue = queue;
        this.clock = clock;
        this.callbacks = callbacks;
        this.log = log;
        stats = store.stats();
    }

    /** Returns whether writes are accepted, as of the last iteration. May be called from any thread. */
    WriteState.Mode mode() {
        return mode;
    }

    /** Returns the statistics as of the last iteration. May be called from any thread. */
    StoreStats stats() {
        return stats;
    }

    @Override
    public void run() {
        List<Write> group = new ArrayList<>();
        boolean isLast = false;
        while (!isLast) {
            isLast = queue.takeGroup(group, store.isBusy() ? 0 : store.nextTickMillis(clock.nowMillis()));
            try {
                runOnce(group);
            } catch (RuntimeException e) {
                log.error("store_fault", "reason", e.toString());
                group.stream()
                        .filter(write -> write.outcome() == null)
                        .forEach(write -> write.complete(
                                Store.Outcome.IN_DOUBT, "unexpected exception in the writer thread: " + e));
            }
            invokeCallbacks(group);
            group.clear();
        }
    }

    private void runOnce(List<Write> group) {
        if (!group.isEmpty()) {
            store.commit(group, clock.nowMillis());
        }
        installFinishedJob();
        store.tick(clock.nowMillis());
        mode = store.mode();
        stats = store.stats();
        offerNextJob();
    }

    private void invokeCallbacks(List<Write> group) {
        if (!group.isEmpty()) {
            List<Write> completed = List.copyOf(group);
            callbacks.execute(() -> completed.forEach(write -> write.invokeCallback()));
        }
    }

    private void offerNextJob() {
        if (queue.acceptsJob()) {
            MaintenanceJob next = store.startNextJob(clock.nowMillis());
            if (next != null) {
                queue.offerJob(next);
            }
        }
    }

    private void installFinishedJob() {
        WriterQueue.FinishedJob finished = queue.pollFinishedJob();
        if (finished == null) {
            return;
        }
        try {
            if (finished.failure() != null) {
                throw finished.failure();
            }
            store.markJobDone(clock.nowMillis());
        } catch (IOException e) {
            store.markJobFailed(e, clock.nowMillis());
        }
    }
}

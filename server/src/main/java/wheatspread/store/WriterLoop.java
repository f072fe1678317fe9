package wheatspread.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import wheatspread.logging.EventLog;

/**
 * The writer's thread: commits groups of writes, starts maintenance jobs and installs their results. It is the
 * only thread that appends to or syncs the active segment. It ends when {@link WriterQueue} is closed and
 * empty.
 */
final class WriterLoop implements Runnable {
    private final LogStructuredStore files;
    private final WriterQueue queue;
    private final Store.Clock time;
    private final Executor callbacks;
    private final EventLog log;
    private volatile WriteState.Mode mode = WriteState.Mode.OPEN;

    WriterLoop(LogStructuredStore files, WriterQueue queue, Store.Clock time, Executor callbacks, EventLog log) {
        this.files = files;
        this.queue = queue;
        this.time = time;
        this.callbacks = callbacks;
        this.log = log;
    }

    /** Whether writes are accepted, as of the last iteration. Any thread. */
    WriteState.Mode mode() {
        return mode;
    }

    @Override
    public void run() {
        List<Write> group = new ArrayList<>();
        boolean last = false;
        while (!last) {
            last = queue.takeGroup(group, files.isBusy() ? 0 : files.nextTickMillis(time.nowMillis()));
            try {
                runOnce(group);
            } catch (RuntimeException e) {
                log.error("store_fault", "reason", e.toString());
                group.stream()
                        .filter(write -> write.outcome() == null)
                        .forEach(write -> write.complete(Store.Outcome.IN_DOUBT, "a fault in the program: " + e));
            }
            notifyCallers(group);
            group.clear();
        }
    }

    private void runOnce(List<Write> group) {
        if (!group.isEmpty()) {
            files.commit(group, time.nowMillis());
        }
        endJob();
        files.tick(time.nowMillis());
        mode = files.mode();
        offerJob();
    }

    private void notifyCallers(List<Write> group) {
        if (!group.isEmpty()) {
            List<Write> completed = List.copyOf(group);
            callbacks.execute(() -> completed.forEach(write -> write.notifyCaller()));
        }
    }

    private void offerJob() {
        if (queue.acceptsJob()) {
            MaintenanceJob next = files.nextJob(time.nowMillis());
            if (next != null) {
                queue.offerJob(next);
            }
        }
    }

    private void endJob() {
        WriterQueue.FinishedJob done = queue.pollFinishedJob();
        if (done == null) {
            return;
        }
        try {
            if (done.failure() != null) {
                throw done.failure();
            }
            files.jobDone();
        } catch (IOException e) {
            files.jobFailed(e, time.nowMillis());
        }
    }
}

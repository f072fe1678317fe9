package wheatspread.store;

import java.io.IOException;
import java.util.concurrent.locks.LockSupport;

/**
 * The loop of the background thread: runs the steps of one maintenance job at a time, limited to {@link
 * StoreSettings#compactionBytesPerSecond}. It ends when {@link WriterQueue} is closed.
 */
final class BackgroundLoop implements Runnable {
    private final WriterQueue queue;
    private final StoreSettings settings;
    private final Store.Clock clock;

    BackgroundLoop(WriterQueue queue, StoreSettings settings, Store.Clock clock) {
        this.queue = queue;
        this.settings = settings;
        this.clock = clock;
    }

    @Override
    public void run() {
        RateLimiter rateLimiter = new RateLimiter(settings.compactionBytesPerSecond(), clock.nanos());
        for (MaintenanceJob job = queue.awaitJob(); job != null; job = queue.awaitJob()) {
            IOException failure = null;
            try {
                if (!runSteps(job, rateLimiter)) {
                    return;
                }
            } catch (IOException e) {
                failure = e;
            } catch (RuntimeException e) {
                failure = new IOException("unexpected exception in a maintenance job: " + e, e);
            }
            queue.finishJob(new WriterQueue.FinishedJob(job, failure));
        }
    }

    /** Runs all steps of a job; returns false if the store is closed first. */
    private boolean runSteps(MaintenanceJob job, RateLimiter rateLimiter) throws IOException {
        while (job.step()) {
            LockSupport.parkNanos(rateLimiter.delayNanosAfter(job.bytesMoved(), clock.nanos()));
            if (queue.isClosing()) {
                return false;
            }
        }
        return true;
    }
}

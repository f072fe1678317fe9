package wheatspread.store;

import java.io.IOException;
import java.util.concurrent.locks.LockSupport;

/**
 * The background thread: runs the steps of one maintenance job at a time, within the rate of {@link
 * StoreSettings#compactBytesPerS}. It ends when {@link WriterQueue} is closed.
 */
final class BackgroundLoop implements Runnable {
    private final WriterQueue queue;
    private final StoreSettings settings;
    private final Store.Clock time;

    BackgroundLoop(WriterQueue queue, StoreSettings settings, Store.Clock time) {
        this.queue = queue;
        this.settings = settings;
        this.time = time;
    }

    @Override
    public void run() {
        RateLimiter rateLimiter = new RateLimiter(settings.compactionBytesPerSecond(), time.nanos());
        for (MaintenanceJob job = queue.awaitJob(); job != null; job = queue.awaitJob()) {
            IOException failure = null;
            try {
                if (!runSteps(job, rateLimiter)) {
                    return;
                }
            } catch (IOException e) {
                failure = e;
            } catch (RuntimeException e) {
                failure = new IOException("a fault in the program: " + e, e);
            }
            queue.finishJob(new WriterQueue.FinishedJob(job, failure));
        }
    }

    /** Runs a job to its end; false if the store closes before. */
    private boolean runSteps(MaintenanceJob job, RateLimiter rateLimiter) throws IOException {
        while (job.step()) {
            LockSupport.parkNanos(rateLimiter.delayNanosAfter(job.bytesMoved(), time.nanos()));
            if (queue.isClosing()) {
                return false;
            }
        }
        return true;
    }
}

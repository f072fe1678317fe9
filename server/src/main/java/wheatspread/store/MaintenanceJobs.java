package wheatspread.store;

import java.io.IOException;
import java.util.List;
import java.util.function.LongSupplier;
import wheatspread.disk.Disk;
import wheatspread.logging.EventLog;

/**
 * Schedules maintenance jobs, one at a time: deletions first, then a checkpoint if one is due, then
 * compactions. For the writer's thread alone, which starts a job and installs its result; another thread runs
 * the steps. After a failure it waits with exponential backoff, and files that the failed job may have left are
 * deleted before another job starts.
 */
final class MaintenanceJobs {
    private static final long MIN_RETRY_DELAY_MILLIS = 500;
    private static final long MAX_RETRY_DELAY_MILLIS = 60_000;

    private final Disk disk;
    private final StoreSettings settings;
    private final EventLog log;
    private final SegmentCatalog catalog;
    private final SegmentWriter writer;
    private final CompactionPlanner compactions;
    private final CheckpointProgress checkpoints;
    private final AuxiliaryFiles files;
    private final StoreStats.Counters counters;
    /** The current job; null if there is none. */
    private MaintenanceJob currentJob;
    /** The steps of the job are done, and what it made is being installed. */
    private boolean installing;

    private long retryAtMillis;
    private long retryDelayMillis;

    MaintenanceJobs(
            StoreContext context,
            SegmentWriter writer,
            CompactionPlanner compactions,
            CheckpointProgress checkpoints,
            AuxiliaryFiles files) {
        disk = context.disk();
        settings = context.settings();
        log = context.log();
        catalog = context.catalog();
        counters = context.counters();
        this.writer = writer;
        this.compactions = compactions;
        this.checkpoints = checkpoints;
        this.files = files;
    }

    // ---- what is to be done ----

    /** Starts the job that is due, if there is one and none is running; null otherwise. */
    MaintenanceJob next(long nowMillis, LongSupplier usedBytes, boolean mayCheckpoint) {
        if (currentJob != null || nowMillis < retryAtMillis) {
            return null;
        }
        if (files.hasPending()) {
            currentJob = files.deletion();
        } else if (checkpoints.isDue(settings) && mayCheckpoint) {
            currentJob = checkpoint(nowMillis);
        } else {
            currentJob = compactions.choose(nowMillis, usedBytes.getAsLong());
        }
        return currentJob;
    }

    /** A checkpoint of all that has been acknowledged so far. */
    private CheckpointJob checkpoint(long nowMillis) {
        boolean waits = settings.sync() != StoreSettings.Sync.GROUP;
        long number = checkpoints.start();
        return new CheckpointJob(
                disk, catalog, number, writer.currentNumber(), writer.currentOffset(), nowMillis, waits);
    }

    /** Whether what a job made is being installed. */
    boolean isInstalling() {
        return installing;
    }

    /** Bytes that the current job has written to files that are not counted yet. */
    long outputBytes() {
        return currentJob == null ? 0 : currentJob.outputBytes();
    }

    // ---- at once, on the caller's thread ----

    /** Writes a checkpoint; the caller waits. */
    void checkpointNow(long nowMillis) throws IOException {
        currentJob = checkpoint(nowMillis);
        runNow(nowMillis);
    }

    /** Compacts a damaged segment, with a record of the suspected losses in place of what is lost. */
    void salvage(Segment damaged, long nowMillis) throws IOException {
        currentJob = compactions.compaction(List.of(damaged), nowMillis);
        runNow(nowMillis);
    }

    /** Rewrites everything, in runs that make a segment each; the caller waits. */
    void compactNow(long nowMillis, boolean acceptLoss) throws IOException {
        if (acceptLoss) {
            compactions.acceptGaps();
        }
        int from = 0;
        List<Segment> run = compactions.nextRun(from);
        while (!run.isEmpty()) {
            from = run.get(run.size() - 1).name().last() + 1;
            CompactionJob compaction = compactions.compaction(run, nowMillis);
            compaction.dropSuspectedLosses(acceptLoss);
            currentJob = compaction;
            runNow(nowMillis);
            run = compactions.nextRun(from);
        }
    }

    /** Runs the job on this thread, and the deletions that follow from it; a job that failed has been aborted. */
    private void runNow(long nowMillis) throws IOException {
        try {
            runSteps(currentJob);
            stepsDone();
            while (installing) {
                install();
            }
            DeleteJob deletion = files.deletion();
            runSteps(deletion);
            files.completed(deletion);
        } catch (IOException e) {
            if (currentJob != null) {
                failed(e, nowMillis);
            }
            throw e;
        }
    }

    private static void runSteps(MaintenanceJob job) throws IOException {
        while (job.step()) {
            continue;
        }
    }

    // ---- how a job ends ----

    /** The steps of the job are done; the writer's part of it follows. */
    void stepsDone() throws IOException {
        if (currentJob instanceof CheckpointJob checkpoint && checkpoint.requiresWriterSync()) {
            if (writer.active() != null && writer.isDirty()) {
                writer.sync(writer.lastSyncMillis());
            }
            checkpoint.publish();
        }
        installing = true;
    }

    /** Goes on with the writer's part of a job. */
    void install() {
        if (currentJob.install()) {
            return;
        }
        installing = false;
        retryDelayMillis = 0;
        if (currentJob instanceof CompactionJob compaction) {
            completed(compaction);
        } else if (currentJob instanceof CheckpointJob checkpoint) {
            completed(checkpoint);
        } else {
            files.completed((DeleteJob) currentJob);
        }
        currentJob = null;
    }

    private void completed(CheckpointJob checkpoint) {
        if (checkpoints.newest() != null) {
            files.delete(List.of(checkpoints.newest()));
        }
        checkpoints.completed(checkpoint.name());
        files.add(checkpoint.name(), checkpoint.outputBytes());
        counters.countCheckpoint();
        log.info(
                "store_checkpoint",
                "file",
                checkpoint.name(),
                "keys",
                catalog.index().size(),
                "bytes",
                checkpoint.outputBytes());
    }

    private void completed(CompactionJob compaction) {
        long before = 0;
        for (Segment one : compaction.run()) {
            before += one.validBytes();
            files.retire(one);
            writer.forgetCut(one.name());
            try {
                one.retire();
            } catch (IOException e) {
                log.warn("store_close_failed", "file", one.name(), "reason", e.toString());
            }
        }
        compaction.releaseRun();
        checkpoints.logged(compaction.outputBytes());
        counters.countCompaction(before);
        log.info(
                "store_compacted",
                "file",
                compaction.result().name(),
                "from_bytes",
                before,
                "to_bytes",
                compaction.outputBytes());
    }

    /** Aborts the current job, if there is one. */
    void cancel(String why, long nowMillis) {
        if (currentJob != null) {
            failed(new IOException(why), nowMillis);
        }
    }

    /** The job failed. Files that it may have left are deleted before another job starts. */
    void failed(IOException reason, long nowMillis) {
        counters.countFailure();
        retryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, Math.max(MIN_RETRY_DELAY_MILLIS, retryDelayMillis * 2));
        retryAtMillis = nowMillis + retryDelayMillis;
        log.error(
                "store_job_failed",
                "job",
                currentJob.kind(),
                "reason",
                reason.toString(),
                "retry_ms",
                retryDelayMillis);
        if (!(currentJob instanceof DeleteJob)) {
            files.delete(currentJob.abort());
        }
        if (currentJob instanceof CheckpointJob) {
            checkpoints.failed(settings);
        }
        installing = false;
        currentJob = null;
    }
}

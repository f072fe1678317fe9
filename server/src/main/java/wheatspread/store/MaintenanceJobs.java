package wheatspread.store;

import java.io.IOException;
import java.util.List;
import java.util.function.LongSupplier;
import wheatspread.disk.Disk;
import wheatspread.logging.EventLog;

/**
 * Schedules maintenance jobs, one at a time: deletions first, then a checkpoint if one is due, then compactions.
 * Confined to the writer thread, which starts a job and installs its result; another thread runs the steps. After a
 * failure the next job is delayed with exponential backoff, and incomplete files of the failed job are deleted before
 * the next job starts.
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
    /** The current job, or null if there is none. */
    private MaintenanceJob currentJob;
    /** Whether the steps of the job are done and its result is being installed. */
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

    // ---- scheduling ----

    /** Starts the job that is due; returns null if none is due or a job is running. */
    MaintenanceJob startNext(long nowMillis, LongSupplier usedBytes, boolean mayCheckpoint) {
        if (currentJob != null || nowMillis < retryAtMillis) {
            return null;
        }
        if (files.hasPending()) {
            currentJob = files.createDeleteJob();
        } else if (checkpoints.isDue(settings) && mayCheckpoint) {
            currentJob = startCheckpoint(nowMillis);
        } else {
            currentJob = compactions.choose(nowMillis, usedBytes.getAsLong());
        }
        return currentJob;
    }

    /** Creates a checkpoint of all writes acknowledged so far. */
    private CheckpointJob startCheckpoint(long nowMillis) {
        boolean requiresWriterSync = settings.sync() != StoreSettings.Sync.GROUP;
        long number = checkpoints.start();
        return new CheckpointJob(
                disk, catalog, number, writer.currentNumber(), writer.currentOffset(), nowMillis, requiresWriterSync);
    }

    /** Returns whether the result of a job is being installed. */
    boolean isInstalling() {
        return installing;
    }

    /** Returns the bytes that the current job has written to files that are not counted elsewhere yet. */
    long outputBytes() {
        return currentJob == null ? 0 : currentJob.outputBytes();
    }

    // ---- synchronous jobs on the caller's thread ----

    /** Writes a checkpoint synchronously. */
    void checkpointNow(long nowMillis) throws IOException {
        currentJob = startCheckpoint(nowMillis);
        runNow(nowMillis);
    }

    /** Compacts a damaged segment synchronously; records of suspected losses replace the lost records. */
    void salvage(Segment damaged, long nowMillis) throws IOException {
        currentJob = compactions.createJob(List.of(damaged), nowMillis);
        runNow(nowMillis);
    }

    /** Compacts the whole log synchronously, in runs whose live records fill about one segment each. */
    void compactNow(long nowMillis, boolean acceptLoss) throws IOException {
        if (acceptLoss) {
            compactions.acceptGaps();
        }
        int from = 0;
        List<Segment> run = compactions.nextRun(from);
        while (!run.isEmpty()) {
            from = run.get(run.size() - 1).name().last() + 1;
            CompactionJob compaction = compactions.createJob(run, nowMillis);
            compaction.dropSuspectedLosses(acceptLoss);
            currentJob = compaction;
            runNow(nowMillis);
            run = compactions.nextRun(from);
        }
    }

    /** Runs the current job and the deletions that it requires on this thread; a job that fails is aborted. */
    private void runNow(long nowMillis) throws IOException {
        try {
            runSteps(currentJob);
            startInstalling();
            while (installing) {
                install();
            }
            DeleteJob deletion = files.createDeleteJob();
            runSteps(deletion);
            files.onCompleted(deletion);
        } catch (IOException e) {
            if (currentJob != null) {
                handleFailure(e, nowMillis);
            }
            throw e;
        }
    }

    private static void runSteps(MaintenanceJob job) throws IOException {
        while (job.step()) {
            continue;
        }
    }

    // ---- completion ----

    /** Returns whether the active segment must be synced before {@link #startInstalling}. */
    boolean requiresLogSync() {
        return currentJob instanceof CheckpointJob checkpoint && checkpoint.requiresWriterSync() && writer.isDirty();
    }

    /** Starts installing the result of the job, whose steps are done. */
    void startInstalling() throws IOException {
        if (currentJob instanceof CheckpointJob checkpoint && checkpoint.requiresWriterSync()) {
            checkpoint.publish();
        }
        installing = true;
    }

    /** Installs the next part of the result, and completes the job after the last part. */
    void install() {
        if (currentJob.install()) {
            return;
        }
        installing = false;
        retryDelayMillis = 0;
        if (currentJob instanceof CompactionJob compaction) {
            completeCompaction(compaction);
        } else if (currentJob instanceof CheckpointJob checkpoint) {
            completeCheckpoint(checkpoint);
        } else {
            files.onCompleted((DeleteJob) currentJob);
        }
        currentJob = null;
    }

    private void completeCheckpoint(CheckpointJob checkpoint) {
        if (checkpoints.newest() != null) {
            files.scheduleDeletion(List.of(checkpoints.newest()));
        }
        checkpoints.markCompleted(checkpoint.name());
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

    private void completeCompaction(CompactionJob compaction) {
        long inputBytes = 0;
        for (Segment segment : compaction.run()) {
            inputBytes += segment.validBytes();
            files.retire(segment);
            writer.forgetCut(segment.name());
            try {
                segment.retire();
            } catch (IOException e) {
                log.warn("store_close_failed", "file", segment.name(), "reason", e.toString());
            }
        }
        compaction.releaseRun();
        checkpoints.countLogged(compaction.outputBytes());
        counters.countCompaction(inputBytes);
        log.info(
                "store_compacted",
                "file",
                compaction.result().name(),
                "from_bytes",
                inputBytes,
                "to_bytes",
                compaction.outputBytes());
    }

    /** Aborts the current job, if any. */
    void cancel(String reason, long nowMillis) {
        if (currentJob != null) {
            handleFailure(new IOException(reason), nowMillis);
        }
    }

    /** Aborts the failed job. Its incomplete files are deleted before another job starts. */
    void handleFailure(IOException reason, long nowMillis) {
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
            files.scheduleDeletion(currentJob.abort());
        }
        if (currentJob instanceof CheckpointJob) {
            checkpoints.markFailed(settings);
        }
        installing = false;
        currentJob = null;
    }
}

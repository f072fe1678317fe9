package wheatspread.store;

import java.io.IOException;
import java.util.List;
import java.util.function.LongSupplier;
import wheatspread.disk.Disk;
import wheatspread.logging.EventLog;

/**
 * The jobs beside the writing, one at a time: deletions first, then a checkpoint if one is due, then
 * compactions. Another thread runs the steps of a job; all calls here are for the writer's thread, which
 * begins a job and installs what it made. After a failure no job is begun for a while, and what the failed
 * one may have left is deleted before any other begins.
 */
final class MaintenanceJobs {
    private static final long FIRST_PAUSE_MS = 500;
    private static final long LONGEST_PAUSE_MS = 60_000;

    private final Disk disk;
    private final StoreSettings settings;
    private final EventLog log;
    private final SegmentCatalog catalog;
    private final SegmentWriter writer;
    private final CompactionPlanner compactions;
    private final CheckpointProgress checkpoints;
    private final AuxiliaryFiles files;
    private final StoreStats.Counters counters;
    /** The job in hand; null if there is none. */
    private MaintenanceJob job;
    /** The steps of the job are done, and what it made is being installed. */
    private boolean installing;

    private long retryAt;
    private long pause;

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

    /** Begins the job that should be done now, if there is one and none is in hand; null otherwise. */
    MaintenanceJob next(long nowMs, LongSupplier usedBytes, boolean mayCheckpoint) {
        if (job != null || nowMs < retryAt) {
            return null;
        }
        if (files.hasPending()) {
            job = files.deletion();
        } else if (checkpoints.isDue(settings) && mayCheckpoint) {
            job = checkpoint(nowMs);
        } else {
            job = compactions.choose(nowMs, usedBytes.getAsLong());
        }
        return job;
    }

    /** A checkpoint of all that has been acknowledged so far. */
    private CheckpointJob checkpoint(long nowMs) {
        boolean waits = settings.sync() != StoreSettings.Sync.GROUP;
        long number = checkpoints.begin();
        return new CheckpointJob(disk, catalog, number, writer.currentNumber(), writer.currentOffset(), nowMs, waits);
    }

    /** Whether what a job made is being installed. */
    boolean isInstalling() {
        return installing;
    }

    /** Bytes that the job in hand takes on the disk beside the files that are counted. */
    long ownBytes() {
        return job == null ? 0 : job.ownBytes();
    }

    // ---- at once, on the caller's thread ----

    /** Writes a checkpoint; the caller waits. */
    void checkpointNow(long nowMs) throws IOException {
        job = checkpoint(nowMs);
        runNow(nowMs);
    }

    /** Rewrites what is left of a damaged file, with the doubt in the place of what is lost. */
    void salvage(Segment damaged, long nowMs) throws IOException {
        job = compactions.compaction(List.of(damaged), nowMs);
        runNow(nowMs);
    }

    /** Rewrites everything, in runs that make a segment each; the caller waits. */
    void compactNow(long nowMs, boolean acceptLoss) throws IOException {
        if (acceptLoss) {
            compactions.acceptGaps();
        }
        int from = 0;
        List<Segment> run = compactions.nextRun(from);
        while (!run.isEmpty()) {
            from = run.get(run.size() - 1).name.last() + 1;
            CompactionJob compaction = compactions.compaction(run, nowMs);
            compaction.dropDoubts(acceptLoss);
            job = compaction;
            runNow(nowMs);
            run = compactions.nextRun(from);
        }
    }

    /** Does the job on this thread, and clears up behind it; a job that failed has been given up. */
    private void runNow(long nowMs) throws IOException {
        try {
            runSteps(job);
            stepsDone();
            while (installing) {
                install();
            }
            DeleteJob deletion = files.deletion();
            runSteps(deletion);
            files.completed(deletion);
        } catch (IOException e) {
            if (job != null) {
                failed(e, nowMs);
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
        if (job instanceof CheckpointJob checkpoint && checkpoint.waits()) {
            if (writer.active() != null && writer.isDirty()) {
                writer.sync(writer.syncedAt());
            }
            checkpoint.publish();
        }
        installing = true;
    }

    /** Goes on with the writer's part of a job. */
    void install() {
        if (job.install()) {
            return;
        }
        installing = false;
        pause = 0;
        if (job instanceof CompactionJob compaction) {
            completed(compaction);
        } else if (job instanceof CheckpointJob checkpoint) {
            completed(checkpoint);
        } else {
            files.completed((DeleteJob) job);
        }
        job = null;
    }

    private void completed(CheckpointJob checkpoint) {
        if (checkpoints.newest() != null) {
            files.delete(List.of(checkpoints.newest()));
        }
        checkpoints.completed(checkpoint.name());
        files.add(checkpoint.name(), checkpoint.ownBytes());
        counters.checkpoints++;
        log.info(
                "store_checkpoint",
                "file",
                checkpoint.name(),
                "keys",
                catalog.index.size(),
                "bytes",
                checkpoint.ownBytes());
    }

    private void completed(CompactionJob compaction) {
        long before = 0;
        for (Segment one : compaction.run()) {
            before += one.bytes;
            files.retire(one);
            writer.forgetCut(one.name);
            try {
                one.retire();
            } catch (IOException e) {
                log.warn("store_close_failed", "file", one.name, "reason", e.toString());
            }
        }
        compaction.releaseRun();
        checkpoints.logged(compaction.ownBytes());
        counters.compactions++;
        counters.compactedBytes += before;
        log.info(
                "store_compacted",
                "file",
                compaction.result().name,
                "from_bytes",
                before,
                "to_bytes",
                compaction.ownBytes());
    }

    /** Gives up the job in hand, if there is one. */
    void cancel(String why, long nowMs) {
        if (job != null) {
            failed(new IOException(why), nowMs);
        }
    }

    /** The job could not be done. What it may have left is taken away before any other. */
    void failed(IOException reason, long nowMs) {
        counters.failures++;
        pause = Math.min(LONGEST_PAUSE_MS, Math.max(FIRST_PAUSE_MS, pause * 2));
        retryAt = nowMs + pause;
        log.error("store_job_failed", "job", job.kind(), "reason", reason.toString(), "retry_ms", pause);
        if (!(job instanceof DeleteJob)) {
            files.delete(job.abort());
        }
        if (job instanceof CheckpointJob) {
            checkpoints.failed(settings);
        }
        installing = false;
        job = null;
    }
}

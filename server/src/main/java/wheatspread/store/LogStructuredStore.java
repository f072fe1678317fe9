package wheatspread.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;
import java.util.function.LongSupplier;
import wheatspread.disk.Disk;
import wheatspread.logging.EventLog;

/**
 * The store without its threads: segments, index, recovery and maintenance (J. Sheehy, D. Smith, "Bitcask: A
 * Log-Structured Hash Table for Fast Key/Value Data", 2010). {@link GroupCommit} writes, {@link RecordReader}
 * reads, {@link MaintenanceJobs} runs checkpoints, compactions and deletions.
 *
 * <p>Threads: the writer's thread calls {@link #commit}, {@link #tick} and the methods that end a job; another
 * thread runs the steps of the job that {@link #nextJob} returned; any thread may call {@link #get} and {@link
 * #stats}. It reads no clock: the caller passes the time. Whoever opens it calls {@link #close}, or {@link
 * #closeFiles} to leave the files as they are.
 */
final class LogStructuredStore implements Closeable {
    private static final long TICK_INTERVAL_MILLIS = 50;

    private final Closeable lock;
    private final SegmentCatalog catalog;
    private final Recovery.Report recovered;
    private final WriteState state = new WriteState();
    private final StoreStats.Counters counters = new StoreStats.Counters();
    private final SegmentWriter writer;
    private final AuxiliaryFiles files;
    private final CheckpointProgress checkpoints;
    private final MaintenanceJobs jobs;
    private final DiskSpace space;
    private final GroupCommit commits;
    private final RecordReader reader;
    private final ExpirySweep expirySweep;

    private LogStructuredStore(
            Disk disk, StoreSettings settings, EventLog log, LongSupplier random, Closeable lock, Recovery recovery) {
        this.lock = lock;
        catalog = recovery.catalog();
        recovered = recovery.report();
        StoreContext context = new StoreContext(disk, settings, log, random, catalog, counters);
        checkpoints = new CheckpointProgress(recovered);
        writer = new SegmentWriter(context, recovery, checkpoints);
        files = new AuxiliaryFiles(context);
        CompactionPlanner compactions =
                new CompactionPlanner(context, recovery.layout().gaps(), writer);
        jobs = new MaintenanceJobs(context, writer, compactions, checkpoints, files);
        space = new DiskSpace(context, files, jobs, state);
        commits = new GroupCommit(context, writer, space, state);
        reader = new RecordReader(context);
        expirySweep = new ExpirySweep(context);
    }

    /**
     * Opens a folder, for this process alone.
     *
     * @param purpose unless it is to work, nothing may be written, and no job run
     * @throws Disk.TakenException if another process has it
     * @throws StoreException if it holds what this program must not work on
     */
    static LogStructuredStore open(
            Disk disk,
            StoreSettings settings,
            EventLog log,
            LongSupplier random,
            long nowMillis,
            Recovery.Purpose purpose)
            throws IOException {
        Closeable lock = disk.lock();
        try {
            Recovery recovery = new Recovery(disk, settings, log, nowMillis, purpose);
            recovery.run(random);
            LogStructuredStore opened = new LogStructuredStore(disk, settings, log, random, lock, recovery);
            opened.registerFiles(recovery.layout());
            if (purpose == Recovery.Purpose.READ_WRITE) {
                opened.salvage(recovery.damaged(), nowMillis);
            }
            return opened;
        } catch (IOException | RuntimeException e) {
            lock.close();
            throw e;
        }
    }

    /** Counts the files that are not part of the log, and schedules the deletion of old checkpoints. */
    private void registerFiles(Layout layout) throws IOException {
        for (String name : layout.damagedFiles()) {
            files.measure(name);
        }
        List<String> found = layout.checkpoints(); // the newest first
        if (!found.isEmpty()) {
            checkpoints.found(found.get(0));
            files.measure(found.get(0));
            files.delete(found.subList(1, found.size()));
        }
    }

    /** Rewrites what is left of damaged files at once. */
    private void salvage(List<Segment> damaged, long nowMillis) {
        for (Segment one : damaged) {
            try {
                jobs.salvage(one, nowMillis);
            } catch (IOException e) {
                continue; // it is logged, and nothing is lost: the next start finds what this one did
            }
        }
    }

    // ---- writing and reading

    /** Writes a group, and sets the outcome of each of its writes. */
    void commit(List<Write> writes, long nowMillis) {
        commits.commit(writes, nowMillis);
    }

    /** What the store holds for a key. */
    Store.ReadResult get(byte[] key, long nowMillis) throws IOException {
        return reader.get(key, nowMillis);
    }

    // ---- upkeep

    /** Does what is due, in steps that delay the next group about as long as a group takes. */
    void tick(long nowMillis) {
        commits.recoverIfDue(nowMillis);
        commits.syncIfDue(nowMillis);
        if (jobs.isInstalling()) {
            jobs.install();
        }
        expirySweep.run(nowMillis);
        space.check(nowMillis);
    }

    /** Whether there is work that {@link #tick} should be called for without delay. */
    boolean isBusy() {
        return jobs.isInstalling();
    }

    /** When to call {@link #tick} next, at the latest. */
    long nextTickMillis(long nowMillis) {
        return Math.min(nowMillis + TICK_INTERVAL_MILLIS, commits.nextDueMillis(nowMillis));
    }

    /** What should be done beside the writing now, or null. One job at a time. */
    MaintenanceJob nextJob(long nowMillis) {
        return jobs.next(nowMillis, space::usedBytes, !state.mustRecover());
    }

    /** The job has come to its end on its thread; the writer's part of it follows. */
    void jobDone() throws IOException {
        jobs.stepsDone();
    }

    /** Goes on with the writer's part of a job. */
    void install() {
        jobs.install();
    }

    /** The job failed. Files that it may have left are deleted before another job starts. */
    void jobFailed(IOException e, long nowMillis) {
        jobs.failed(e, nowMillis);
    }

    /** Rewrites everything now, in runs that make a segment each; the caller waits. */
    void compactNow(long nowMillis, boolean acceptLoss) throws IOException {
        jobs.compactNow(nowMillis, acceptLoss);
    }

    /** Drops the suspected losses: the caller accepts the loss. */
    void acceptLoss() {
        synchronized (catalog.index()) {
            catalog.suspectedLosses().clear();
        }
    }

    // ---- what it holds

    Recovery.Report recovered() {
        return recovered;
    }

    WriteState.Mode mode() {
        return state.mode();
    }

    SegmentCatalog catalog() {
        return catalog;
    }

    StoreStats stats() {
        synchronized (catalog.index()) {
            return new StoreStats(
                    catalog.index().size(),
                    catalog.index().bytes(),
                    catalog.chain().size(),
                    space.usedBytes(),
                    catalog.liveBytes(),
                    catalog.suspectedLosses().size(),
                    catalog.suspectedLosses().suspectsAllKeys(),
                    state.mode(),
                    counters.copy());
        }
    }

    // ---- the end

    /** Seals what is written and leaves a checkpoint, so that the next start has nothing to read. */
    void finish(long nowMillis) {
        jobs.cancel("the store is closed", nowMillis);
        if (state.mustRecover() || !checkpoints.hasChanges() || !commits.seal(nowMillis)) {
            return;
        }
        try {
            jobs.checkpointNow(nowMillis);
        } catch (IOException e) {
            return; // it is logged, and nothing is lost: the next start finds what this one did
        }
    }

    /**
     * Seals what is written, and closes every file; what was acknowledged is there whether or not it fails.
     */
    @Override
    public void close() throws IOException {
        try {
            if (!state.mustRecover()) {
                writer.seal();
            }
        } finally {
            closeFiles();
        }
    }

    /** Closes every file as it is. */
    void closeFiles() throws IOException {
        for (Segment one : List.copyOf(catalog.chain())) {
            one.retire();
        }
        lock.close();
    }
}

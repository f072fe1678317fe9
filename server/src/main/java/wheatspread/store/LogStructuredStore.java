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
 * <p>Threads: the writer thread calls {@link #commit}, {@link #tick} and the methods that complete a job; another
 * thread runs the steps of the job that {@link #startNextJob} returned; any thread may call {@link #get}. The class
 * reads no clock: the caller passes the time. The owner calls {@link #close}, or {@link #closeFiles} to leave the files
 * unchanged.
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
     * Opens a folder and locks it for this process.
     *
     * @param purpose unless it is READ_WRITE, the caller must not write or run jobs
     * @throws Disk.FolderLockedException if the folder is already locked
     * @throws StoreException if the folder contains files that this program cannot or must not use
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
        List<String> found = layout.checkpoints(); // newest first
        if (!found.isEmpty()) {
            checkpoints.restore(found.get(0));
            files.measure(found.get(0));
            files.scheduleDeletion(found.subList(1, found.size()));
        }
    }

    /** Compacts damaged segments immediately, which keeps their intact records. */
    private void salvage(List<Segment> damaged, long nowMillis) {
        for (Segment segment : damaged) {
            try {
                jobs.salvage(segment, nowMillis);
            } catch (IOException e) {
                continue; // the failure is logged and the segment is unchanged, so the next start retries
            }
        }
    }

    // ---- writing and reading

    /** Writes a group and sets the outcome of each write. */
    void commit(List<Write> writes, long nowMillis) {
        commits.commit(writes, nowMillis);
    }

    /** Returns the value of a key, or why there is none. */
    Store.ReadResult get(byte[] key, long nowMillis) throws IOException {
        return reader.get(key, nowMillis);
    }

    // ---- maintenance

    /** Runs due work, limited so that it delays the next group by about the time that a group takes. */
    void tick(long nowMillis) {
        commits.recoverIfDue(nowMillis);
        commits.syncIfDue(nowMillis);
        if (jobs.isInstalling()) {
            jobs.install();
        }
        expirySweep.run(nowMillis);
        space.check(nowMillis);
    }

    /** Returns whether {@link #tick} has more work and should be called without delay. */
    boolean isBusy() {
        return jobs.isInstalling();
    }

    /** Returns the latest time for the next call of {@link #tick}. */
    long nextTickMillis(long nowMillis) {
        return Math.min(nowMillis + TICK_INTERVAL_MILLIS, commits.nextDueMillis(nowMillis));
    }

    /** Starts the next maintenance job, or returns null if none is due or a job is running. */
    MaintenanceJob startNextJob(long nowMillis) {
        return jobs.startNext(nowMillis, space::usedBytes, !state.mustRecover());
    }

    /** Records that all steps of the job are done, so that its result can be installed. */
    void markJobDone(long nowMillis) throws IOException {
        if (jobs.requiresLogSync() && !commits.sync(nowMillis)) {
            throw new IOException("the log could not be synced before the checkpoint");
        }
        jobs.startInstalling();
    }

    /** Continues installing the result of the job. */
    void install() {
        jobs.install();
    }

    /** Records that the job failed. Its incomplete files are deleted before another job starts. */
    void markJobFailed(IOException e, long nowMillis) {
        jobs.handleFailure(e, nowMillis);
    }

    /** Compacts the whole log synchronously, in runs whose live records fill about one segment each. */
    void compactNow(long nowMillis, boolean acceptLoss) throws IOException {
        jobs.compactNow(nowMillis, acceptLoss);
    }

    /** Drops the suspected losses, after the operator has accepted the loss. */
    void acceptLoss() {
        synchronized (catalog.index()) {
            catalog.suspectedLosses().clear();
        }
    }

    // ---- state

    Recovery.Report recovered() {
        return recovered;
    }

    WriteState.Mode mode() {
        return state.mode();
    }

    SegmentCatalog catalog() {
        return catalog;
    }

    /** Returns the statistics; only for the writer thread, which changes what they are made of. */
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

    // ---- closing

    /** Seals the active segment and writes a checkpoint, so that the next start need not replay the log. */
    void finish(long nowMillis) {
        jobs.cancel("the store is closed", nowMillis);
        if (state.mustRecover() || !checkpoints.hasChanges() || !commits.seal(nowMillis)) {
            return;
        }
        try {
            jobs.checkpointNow(nowMillis);
        } catch (IOException e) {
            return; // the failure is logged; the next start replays the log instead
        }
    }

    /**
     * Seals the active segment and closes every file. Acknowledged writes are kept even if this fails.
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

    /** Closes every file without changing it. */
    void closeFiles() throws IOException {
        for (Segment segment : List.copyOf(catalog.chain())) {
            segment.retire();
        }
        lock.close();
    }
}

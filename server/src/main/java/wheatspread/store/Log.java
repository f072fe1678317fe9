package wheatspread.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.agrona.collections.LongArrayList;
import wheatspread.disk.Disk;
import wheatspread.disk.DiskFile;
import wheatspread.logging.EventLog;

/**
 * The store without its threads: one thread calls {@link #commit}, {@link #tick} and what ends a job,
 * another one runs the job that {@link #nextJob} gave, and any may {@link #get}. Its time is told to it.
 */
final class Log implements Closeable {
    private static final int SWEEP_CELLS = 8_192;
    private static final long SWEEP_EVERY_MS = 10;
    private static final long LOOK_AT_DISK_MS = 1_000;
    private static final long JOB_PAUSE_MS = 500;
    private static final long LONGEST_JOB_PAUSE_MS = 60_000;

    private final Disk disk;
    private final StoreSettings settings;
    private final EventLog log;
    private final LongSupplier random;
    private final Closeable lock;
    private final Catalog catalog;
    private final Recovery.Report recovered;
    private final CompactionPolicy policy;
    private final WriteState state = new WriteState();
    private final GroupEncoder group = new GroupEncoder();
    /** Where segments without a seal end, to be said in the next group: number, length. */
    private final TreeMap<Integer, Integer> pendingCuts;

    private final Set<String> toDelete = new LinkedHashSet<>();
    private final Set<String> toSetAside = new LinkedHashSet<>();
    private final Map<String, Long> otherBytes = new TreeMap<>();
    private final Set<Integer> gaps = new HashSet<>();

    private Segment active;
    private long mark;
    private int nextNumber;
    private boolean dirty;
    private int syncedTo;
    private long syncedAt;
    private long sinceCheckpoint;
    private long checkpointNumber;
    private String checkpointName;
    private Job job;
    private boolean installing;
    private long jobsAgainAt;
    private long jobPause;
    private long lookedAtDisk = Long.MIN_VALUE / 2;
    private boolean diskHasRoom = true;
    private long sweptAt = Long.MIN_VALUE / 2;
    private int sweepTable;
    private int sweepCell;
    private boolean changedSinceCheckpoint;
    private final StoreStats.Counters counters = new StoreStats.Counters();

    private Log(
            Disk disk, StoreSettings settings, EventLog log, LongSupplier random, Closeable lock, Recovery recovery) {
        this.disk = disk;
        this.settings = settings;
        this.log = log;
        this.random = random;
        this.lock = lock;
        catalog = recovery.catalog();
        recovered = recovery.report();
        policy = new CompactionPolicy(settings);
        pendingCuts = recovery.pendingCuts();
        nextNumber = recovery.layout().next();
        gaps.addAll(recovery.layout().gaps());
        sinceCheckpoint = recovered.readBytes();
        changedSinceCheckpoint = recovered.replayedRecords() > 0;
    }

    /**
     * Opens a folder, for this process alone.
     *
     * @param purpose unless it is to work, nothing may be written, and no job run
     * @throws Disk.TakenException if another process has it
     * @throws StoreException if it holds what this program must not work on
     */
    static Log open(
            Disk disk, StoreSettings settings, EventLog log, LongSupplier random, long nowMs, Recovery.Purpose purpose)
            throws IOException {
        Closeable lock = disk.lock();
        try {
            Recovery recovery = new Recovery(disk, settings, log, nowMs, purpose);
            recovery.run(random);
            Log opened = new Log(disk, settings, log, random, lock, recovery);
            opened.settle(recovery, nowMs, purpose == Recovery.Purpose.WORK);
            return opened;
        } catch (IOException | RuntimeException e) {
            lock.close();
            throw e;
        }
    }

    private void settle(Recovery recovery, long nowMs, boolean mayChange) throws IOException {
        for (String name : recovery.layout().aside()) {
            other(name);
        }
        if (!recovery.layout().checkpoints().isEmpty()) {
            checkpointName = recovery.layout().checkpoints().get(0); // the newest
            checkpointNumber = Layout.checkpointNumber(checkpointName);
            other(checkpointName);
            toDelete.addAll(recovery.layout().checkpoints());
            toDelete.remove(checkpointName);
        }
        if (mayChange) {
            for (Segment damaged : recovery.damaged()) {
                salvage(damaged, nowMs);
            }
        }
    }

    private void other(String name) throws IOException {
        try (DiskFile file = disk.open(name)) {
            otherBytes.put(name, file.size());
        }
    }

    /** Rewrites what is left of a damaged file at once, with the doubt in the place of what is lost. */
    private void salvage(Segment damaged, long nowMs) {
        job = compaction(List.of(damaged), nowMs);
        try {
            runNow(nowMs);
        } catch (IOException e) {
            return; // it is told, and nothing is lost: the next start finds what this one did
        }
    }

    /** Deletes and sets aside at once what is to be. */
    private void clear() throws IOException {
        DeleteJob rest = new DeleteJob(disk, union(), toSetAside);
        while (rest.step()) {
            continue;
        }
        kept(rest);
    }

    // ---- writing

    /** Writes a group, and tells each of its writes how it ended. */
    void commit(List<Write> writes, long nowMs) {
        List<Write> taken = admit(writes);
        if (taken.isEmpty()) {
            return;
        }
        try {
            for (Write write : taken) {
                write.hash = catalog.hash(write.key);
                write.replaces = entryOf(write.hash, write.key);
            }
            makeRoom(taken);
        } catch (IOException e) {
            trouble("open", e, nowMs);
            taken.forEach(write -> write.end(Store.Outcome.REFUSED, "the disk fails: " + e.getMessage()));
            return;
        }
        encode(taken);
        try {
            append(nowMs);
        } catch (IOException e) {
            trouble("write", e, nowMs);
            taken.forEach(write -> write.end(Store.Outcome.IN_DOUBT, "the disk fails: " + e.getMessage()));
            return;
        }
        apply(taken);
    }

    private List<Write> admit(List<Write> writes) {
        List<Write> taken = new ArrayList<>(writes.size());
        long used = usedBytes();
        for (Write write : writes) {
            WriteState.Mode mode = state.mode();
            long size = write.room();
            if (state.mustRecover() || mode == WriteState.Mode.FULL && write.value != null) {
                write.end(Store.Outcome.REFUSED, mode == WriteState.Mode.FULL ? "the disk is full" : "the disk fails");
            } else if (write.value != null && used + size + settings.reserve() > settings.maxBytes()) {
                state.room(false);
                write.end(Store.Outcome.REFUSED, "the store is full");
            } else {
                used += size;
                taken.add(write);
            }
        }
        counters.refused += writes.size() - taken.size();
        return taken;
    }

    private long entryOf(long hash, byte[] key) throws IOException {
        LongArrayList found = new LongArrayList(2, 0);
        catalog.index.find(hash, (h, at, length, expiry) -> {
            found.addLong(at);
            found.addLong(length);
        });
        for (int i = 0; i < found.size(); i += 2) {
            if (catalog.hasKey(found.getLong(i), (int) found.getLong(i + 1), key)) {
                return found.getLong(i);
            }
        }
        return 0;
    }

    /** Sees that there is a segment to write to. */
    private void makeRoom(List<Write> taken) throws IOException {
        long size = 0;
        for (Write write : taken) {
            size += write.room();
        }
        if (active != null && active.bytes > Headers.SIZE && active.bytes + size > settings.segmentBytes()) {
            seal();
        }
        if (active == null) {
            begin();
        }
    }

    private void seal() throws IOException {
        int at = (int) active.bytes;
        ByteBuffer seal = GroupEncoder.seal(mark, at);
        active.file.append(seal);
        active.file.sync();
        active.bytes += seal.capacity();
        active = null;
        dirty = false;
    }

    private void begin() throws IOException {
        SegmentName name = SegmentName.original(nextNumber);
        disk.delete(name.toString()); // left by a creation that failed half-way
        DiskFile file = disk.create(name.toString());
        active = new Segment(catalog.newId(), name, file, Headers.SIZE);
        catalog.append(active);
        nextNumber++;
        mark = newMark();
        file.append(Headers.write(name, catalog.seed, mark, 0));
        file.sync();
        disk.syncNames();
        syncedTo = Headers.SIZE;
        dirty = false;
    }

    /** Begins every group of one file; 0 stands for none. */
    private long newMark() {
        long drawn = random.getAsLong();
        return drawn == 0 ? 1 : drawn;
    }

    /** The writes' frames, behind what has to be said first. */
    private void encode(List<Write> taken) {
        group.begin(taken.size() + 1);
        if (!pendingCuts.isEmpty()) {
            group.add(0, GroupEncoder.cuts(pendingCuts));
        }
        for (Write write : taken) {
            write.at = group.add(write.hash, write.key, write.value, write.expiresMs);
            write.length = group.length(write.at);
        }
    }

    private void append(long nowMs) throws IOException {
        int at = (int) active.bytes;
        ByteBuffer bytes = group.end(mark, at, syncedTo);
        int size = bytes.remaining();
        active.file.append(bytes);
        dirty = true;
        if (settings.sync() == StoreSettings.Sync.GROUP || !pendingCuts.isEmpty()) {
            sync(at + size, nowMs);
        }
        active.bytes = at + size;
        sinceCheckpoint += size;
        changedSinceCheckpoint = true;
        counters.groups++;
        counters.writtenBytes += size;
        pendingCuts.clear();
    }

    private void sync(int upTo, long nowMs) throws IOException {
        active.file.sync();
        counters.syncs++;
        dirty = false;
        syncedTo = upTo;
        syncedAt = nowMs;
    }

    private void apply(List<Write> taken) {
        long base = active.bytes - group.size();
        synchronized (catalog.index) {
            for (int i = 0; i < taken.size(); i++) {
                Write write = taken.get(i);
                apply(write, base, taken, i);
                write.end(Store.Outcome.HELD, null);
            }
        }
        counters.writes += taken.size();
    }

    private void apply(Write write, long base, List<Write> taken, int place) {
        long at = Index.at(active.id, (int) (base + write.at));
        long[] old = new long[2];
        catalog.index.find(write.hash, (hash, there, length, expiry) -> {
            boolean earlier = Index.file(there) == active.id
                    && Index.offset(there) >= base
                    && isSame(write, taken, place, (int) (Index.offset(there) - base));
            if (there == write.replaces || earlier) {
                old[0] = there;
                old[1] = length;
            }
        });
        if (old[0] != 0) {
            catalog.died(old[0], old[1]);
        }
        if (write.value == null) {
            active.records++;
            if (old[0] != 0) {
                catalog.index.remove(write.hash, old[0]);
            }
            return;
        }
        int expiry = Catalog.expirySeconds(write.expiresMs);
        active.saw(write.expiresMs);
        active.liveBytes += Catalog.weight(write.length);
        if (old[0] == 0 || !catalog.index.move(write.hash, old[0], at, write.length, expiry)) {
            catalog.index.add(write.hash, at, write.length, expiry);
        }
    }

    /** Whether the write of this group that stands at a place has the same key. */
    private static boolean isSame(Write write, List<Write> taken, int before, int at) {
        for (int i = before - 1; i >= 0; i--) {
            if (taken.get(i).at == at) {
                return java.util.Arrays.equals(taken.get(i).key, write.key);
            }
        }
        return false;
    }

    /** A step on the disk failed: the segment ends where its last acknowledged group does. */
    private void trouble(String doing, IOException e, long nowMs) {
        state.failed(nowMs, e instanceof Disk.NoSpaceException);
        counters.failures++;
        log.error("store_write_failed", "doing", doing, "reason", e.toString(), "retry_ms", state.retryAt() - nowMs);
        abandon();
    }

    private void abandon() {
        if (active == null) {
            return;
        }
        Segment failed = active;
        active = null;
        dirty = false;
        int number = failed.name.first();
        if (failed.bytes <= Headers.SIZE) {
            failed.bytes = 0;
            failed.cut = 0;
            pendingCuts.put(number, 0);
            try {
                disk.delete(failed.name.toString());
                catalog.remove(failed);
                pendingCuts.remove(number);
                nextNumber = number;
                failed.retire();
            } catch (IOException e) {
                log.warn("store_delete_failed", "file", failed.name, "reason", e.toString());
            }
        } else {
            failed.cut = (int) failed.bytes;
            pendingCuts.put(number, failed.cut);
        }
    }

    // ---- reading

    /** What the store holds for a key. */
    Store.Got get(byte[] key, long nowMs) throws IOException {
        long hash = catalog.hash(key);
        List<Place> found = new ArrayList<>(1);
        boolean absentInDoubt;
        synchronized (catalog.index) {
            catalog.index.find(hash, (h, at, length, expiry) -> {
                Segment segment = catalog.byId(Index.file(at));
                segment.hold();
                found.add(new Place(
                        segment,
                        Index.offset(at),
                        length,
                        catalog.doubts.aboutEntry(segment.name.first(), Index.offset(at), nowMs)));
            });
            absentInDoubt = catalog.doubts.aboutAbsent(hash, nowMs);
        }
        Store.Got got = null;
        for (Place place : found) {
            try {
                if (got == null) {
                    got = look(key, place, nowMs);
                }
            } finally {
                place.segment().release();
            }
        }
        return got != null ? got : absentInDoubt ? Store.Got.DOUBTFUL : Store.Got.ABSENT;
    }

    /** Where a record stands, and whether a newer one may have been lost. */
    private record Place(Segment segment, int offset, int length, boolean inDoubt) {}

    private Store.Got look(byte[] key, Place place, long nowMs) throws IOException {
        Format.Record there = Catalog.read(place.segment(), place.offset(), place.length());
        if (there == null) {
            log.error("store_damage", "file", place.segment().name, "at", place.offset(), "keys", 1);
            return Store.Got.DOUBTFUL;
        }
        if (!Catalog.isKey(there, key)) {
            return null;
        }
        if (Catalog.isOver(there.getExpiresMs(), nowMs)) {
            return place.inDoubt() ? Store.Got.DOUBTFUL : Store.Got.ABSENT;
        }
        return new Store.Got(
                place.inDoubt() ? Store.Got.Kind.DOUBTFUL : Store.Got.Kind.VALUE,
                there.getValue().toByteArray(),
                there.getExpiresMs());
    }

    // ---- upkeep

    /** What is due, in pieces that hold up the next group for about as long as a group takes. */
    void tick(long nowMs) {
        if (state.mayRetry(nowMs)) {
            recover(nowMs);
        }
        if (dirty && settings.sync() == StoreSettings.Sync.INTERVAL && nowMs - syncedAt >= settings.syncMs()) {
            try {
                sync((int) active.bytes, nowMs);
            } catch (IOException e) {
                trouble("sync", e, nowMs);
            }
        }
        if (installing) {
            install(nowMs);
        }
        sweep(nowMs);
        look(nowMs);
    }

    /** A new segment that says where the failed one ends; until it stands nothing is taken. */
    private void recover(long nowMs) {
        try {
            if (active == null) {
                begin();
            }
            if (!pendingCuts.isEmpty()) {
                encode(List.of());
                append(nowMs);
            }
            state.recovered();
            lookedAtDisk = nowMs - LOOK_AT_DISK_MS;
            log.info("store_writes_again", "failures", state.failures());
        } catch (IOException e) {
            trouble("recover", e, nowMs);
        }
    }

    private void sweep(long nowMs) {
        if (nowMs - sweptAt < SWEEP_EVERY_MS && nowMs >= sweptAt) {
            return;
        }
        sweptAt = nowMs;
        int nowS = (int) Math.min(0xFFFF_FFFFL, nowMs / 1000);
        synchronized (catalog.index) {
            sweepCell = catalog.index.sweep(sweepTable, sweepCell, SWEEP_CELLS, nowS, (hash, at, length, expiry) -> {
                catalog.died(at, length);
                counters.expired++;
            });
            if (sweepCell == 0) {
                sweepTable = (sweepTable + 1) % Index.TABLES;
            }
            catalog.doubts.age(nowMs);
        }
    }

    private void look(long nowMs) {
        if (nowMs - lookedAtDisk >= LOOK_AT_DISK_MS) {
            lookedAtDisk = nowMs;
            try {
                diskHasRoom = disk.free() >= settings.minFreeBytes();
            } catch (IOException e) {
                diskHasRoom = true; // the next write tells
            }
        }
        boolean was = state.mode() == WriteState.Mode.FULL;
        state.room(diskHasRoom && usedBytes() + settings.reserve() <= settings.maxBytes());
        boolean is = state.mode() == WriteState.Mode.FULL;
        if (was != is) {
            log.warn(
                    is ? "store_full" : "store_has_room",
                    "used",
                    usedBytes(),
                    "live",
                    catalog.liveBytes(),
                    "max",
                    settings.maxBytes());
        }
    }

    /** All files, with what is being written beside them. */
    private long usedBytes() {
        long used = catalog.usedBytes() + (job == null ? 0 : job.ownBytes());
        for (long bytes : otherBytes.values()) {
            used += bytes;
        }
        return used;
    }

    /** Whether there is work that {@link #tick} should be called for without delay. */
    boolean isBusy() {
        return installing;
    }

    /** When to call {@link #tick} next, at the latest. */
    long dueMs(long nowMs) {
        long due = nowMs + 50;
        if (dirty && settings.sync() == StoreSettings.Sync.INTERVAL) {
            due = Math.min(due, syncedAt + settings.syncMs());
        }
        return Math.min(due, Math.max(nowMs, state.retryAt()));
    }

    // ---- jobs

    /** What should be done beside the writing now, or null. One job at a time. */
    Job nextJob(long nowMs) {
        if (job != null || nowMs < jobsAgainAt) {
            return null;
        }
        if (!toDelete.isEmpty() || !toSetAside.isEmpty()) {
            job = new DeleteJob(disk, union(), toSetAside);
        } else if (sinceCheckpoint >= settings.checkpointBytes() && !state.mustRecover()) {
            job = checkpoint(nowMs);
        } else {
            job = compactionOrNull(nowMs);
        }
        return job;
    }

    private Set<String> union() {
        Set<String> all = new LinkedHashSet<>(toDelete);
        all.addAll(toSetAside);
        return all;
    }

    /** A checkpoint of all that has been acknowledged so far. */
    CheckpointJob checkpoint(long nowMs) {
        boolean waits = settings.sync() != StoreSettings.Sync.GROUP;
        sinceCheckpoint = 0;
        changedSinceCheckpoint = false;
        int segment = active != null ? active.name.first() : nextNumber;
        int offset = active != null ? (int) active.bytes : 0;
        return new CheckpointJob(disk, catalog, ++checkpointNumber, segment, offset, nowMs, waits);
    }

    private Job compactionOrNull(long nowMs) {
        boolean pressed = policy.isPressed(usedBytes());
        for (List<Segment> part : sealedRuns()) {
            List<CompactionPolicy.Candidate> candidates = part.stream()
                    .map(one -> new CompactionPolicy.Candidate(one.bytes, one.liveBytes, one.latestExpiryMs))
                    .toList();
            CompactionPolicy.Run run = policy.choose(candidates, nowMs, pressed);
            if (run != null) {
                return compaction(part.subList(run.from(), run.to() + 1), nowMs);
            }
        }
        return null;
    }

    /** Neighbours that are not written to any more and between which none is lost. */
    private List<List<Segment>> sealedRuns() {
        List<List<Segment>> runs = new ArrayList<>();
        List<Segment> run = new ArrayList<>();
        for (Segment one : catalog.chain()) {
            if (gaps.contains(one.name.first()) && !run.isEmpty()) {
                runs.add(run);
                run = new ArrayList<>();
            }
            if (one != active) {
                run.add(one);
            }
        }
        runs.add(run);
        return runs;
    }

    private CompactionJob compaction(List<Segment> run, long nowMs) {
        int first = run.get(0).name.first();
        int last = run.get(run.size() - 1).name.last();
        int generation =
                run.stream().mapToInt(one -> one.name.generation()).max().orElse(0) + 1;
        Set<Integer> cutsNeeded = new HashSet<>();
        for (Segment one : catalog.chain()) {
            if (one.name.isOriginal() && one.name.first() < first) {
                cutsNeeded.add(one.name.first());
            }
        }
        return new CompactionJob(
                disk,
                catalog,
                run,
                new CompactionJob.Terms(
                        new SegmentName(first, last, generation),
                        newMark(),
                        catalog.isClearBefore(first, nowMs),
                        cutsNeeded,
                        nowMs,
                        settings.lossUntil(nowMs)));
    }

    /** Rewrites everything now, in runs that make a segment each; the caller waits. */
    void compactNow(long nowMs, boolean acceptLoss) throws IOException {
        if (acceptLoss) {
            gaps.clear();
        }
        int from = 0;
        while (true) {
            List<Segment> run = nextRun(from);
            if (run.isEmpty()) {
                return;
            }
            from = run.get(run.size() - 1).name.last() + 1;
            CompactionJob compaction = compaction(run, nowMs);
            compaction.dropDoubts(acceptLoss);
            job = compaction;
            runNow(nowMs);
        }
    }

    /** Neighbours from a number on whose living records make about one segment. */
    private List<Segment> nextRun(int from) {
        for (List<Segment> part : sealedRuns()) {
            List<Segment> run = new ArrayList<>();
            long live = 0;
            for (Segment one : part) {
                if (one.name.first() >= from) {
                    live += one.liveBytes;
                    if (!run.isEmpty() && live > settings.segmentBytes()) {
                        return run;
                    }
                    run.add(one);
                }
            }
            if (!run.isEmpty()) {
                return run;
            }
        }
        return List.of();
    }

    /** Does the job on this thread, and clears up behind it; a job that failed has been given up. */
    private void runNow(long nowMs) throws IOException {
        try {
            while (job.step()) {
                continue;
            }
            jobDone();
            while (installing) {
                install(nowMs);
            }
            clear();
        } catch (IOException e) {
            if (job != null) {
                jobFailed(e, nowMs);
            }
            throw e;
        }
    }

    /** The job has come to its end on its thread; the writer's part of it follows. */
    void jobDone() throws IOException {
        if (job instanceof CheckpointJob checkpoint && checkpoint.waits()) {
            if (active != null && dirty) {
                sync((int) active.bytes, syncedAt);
            }
            checkpoint.publish();
        }
        installing = true;
    }

    /** Goes on with the writer's part of a job. */
    void install(long nowMs) {
        if (job.install()) {
            return;
        }
        installing = false;
        jobPause = 0;
        if (job instanceof CompactionJob compaction) {
            end(compaction);
        } else if (job instanceof CheckpointJob checkpoint) {
            if (checkpointName != null) {
                toDelete.add(checkpointName);
            }
            checkpointName = checkpoint.name();
            otherBytes.put(checkpointName, checkpoint.ownBytes());
            counters.checkpoints++;
            log.info(
                    "store_checkpoint",
                    "file",
                    checkpointName,
                    "keys",
                    catalog.index.size(),
                    "bytes",
                    checkpoint.ownBytes());
        } else {
            kept((DeleteJob) job);
        }
        job = null;
    }

    private void kept(DeleteJob done) {
        toDelete.removeAll(done.names());
        toSetAside.removeAll(done.aside());
        for (String name : done.names()) {
            otherBytes.remove(name);
        }
        for (String name : done.aside()) {
            try {
                other(name + SegmentName.ASIDE);
            } catch (IOException e) {
                log.warn("store_file_lost", "file", name);
            }
        }
    }

    private void end(CompactionJob compaction) {
        long before = 0;
        for (Segment one : compaction.run()) {
            before += one.bytes;
            (one.damaged ? toSetAside : toDelete).add(one.name.toString());
            otherBytes.put(one.name.toString(), one.bytes);
            if (one.damaged) {
                log.warn("store_set_aside", "file", one.name + SegmentName.ASIDE);
            }
            pendingCuts.remove(one.name.isOriginal() ? one.name.first() : -1);
            try {
                one.retire();
            } catch (IOException e) {
                log.warn("store_close_failed", "file", one.name, "reason", e.toString());
            }
        }
        compaction.letGo();
        sinceCheckpoint += compaction.ownBytes();
        changedSinceCheckpoint = true;
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

    /** The job could not be done. What it may have left is taken away before any other. */
    void jobFailed(IOException e, long nowMs) {
        counters.failures++;
        jobPause = Math.min(LONGEST_JOB_PAUSE_MS, Math.max(JOB_PAUSE_MS, jobPause * 2));
        jobsAgainAt = nowMs + jobPause;
        log.error("store_job_failed", "job", job.what(), "reason", e.toString(), "retry_ms", jobPause);
        if (!(job instanceof DeleteJob)) {
            toDelete.addAll(job.undo());
            sinceCheckpoint = job instanceof CheckpointJob ? settings.checkpointBytes() : sinceCheckpoint;
        }
        installing = false;
        job = null;
    }

    // ---- the end

    /** Seals what is written and leaves a checkpoint, so that the next start has nothing to read. */
    void finish(long nowMs) throws IOException {
        if (job != null) {
            jobFailed(new IOException("the store is closed"), nowMs);
        }
        if (state.mustRecover() || !changedSinceCheckpoint) {
            return;
        }
        try {
            if (active != null) {
                seal();
            }
        } catch (IOException e) {
            trouble("seal", e, nowMs);
            return;
        }
        job = checkpoint(nowMs);
        try {
            runNow(nowMs);
        } catch (IOException e) {
            return; // it is told, and nothing is lost: the next start finds what this one did
        }
    }

    /** Forgets what is in doubt: who calls it takes the loss. */
    void acceptLoss() {
        synchronized (catalog.index) {
            catalog.doubts.clear();
        }
    }

    Recovery.Report recovered() {
        return recovered;
    }

    WriteState.Mode mode() {
        return state.mode();
    }

    Catalog catalog() {
        return catalog;
    }

    StoreStats stats() {
        synchronized (catalog.index) {
            return new StoreStats(
                    catalog.index.size(),
                    catalog.index.bytes(),
                    catalog.chain().size(),
                    usedBytes(),
                    catalog.liveBytes(),
                    catalog.doubts.size(),
                    catalog.doubts.all(),
                    state.mode(),
                    counters.copy());
        }
    }

    /**
     * Seals what is written, and closes every file; what was acknowledged is there whether or not it fails.
     */
    @Override
    public void close() throws IOException {
        try {
            if (active != null && !state.mustRecover()) {
                seal();
            }
        } finally {
            shut();
        }
    }

    /** Closes every file as it is. */
    void shut() throws IOException {
        for (Segment one : List.copyOf(catalog.chain())) {
            one.retire();
        }
        lock.close();
    }
}

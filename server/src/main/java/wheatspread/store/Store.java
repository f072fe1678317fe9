package wheatspread.store;

import java.io.Closeable;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import wheatspread.disk.Disk;
import wheatspread.logging.EventLog;

/**
 * Keys and values of bytes with an expiry, kept in the files of one folder. Callers never wait: a write or
 * a read is taken or refused at once, and how it ended is told later, through the executor that was given.
 * Three threads do the work: one writes, one reads, and one rewrites old files and the index.
 */
public final class Store implements Closeable {
    /** How a write ended. */
    public enum Outcome {
        /** The store holds it, as {@link StoreSettings#sync} promises. */
        HELD,
        /** It is certainly not there. */
        REFUSED,
        /** The disk failed under it: it is not seen now, and may be there after a crash that comes soon. */
        IN_DOUBT
    }

    /** Why something was not taken. */
    public enum Refusal {
        /** As much as may wait waits already. */
        QUEUE_FULL,
        /** No more is written until there is room. */
        FULL,
        /** The disk fails; the store tries to come back by itself. */
        FAILED,
        /** Key and value are longer than a record may be. */
        TOO_LONG,
        /** It would expire later than the settings allow, or has expired. */
        BAD_EXPIRY,
        CLOSED
    }

    /** Is told how a write ended; {@code reason} is null unless it failed. */
    @FunctionalInterface
    public interface Done {
        void ended(Outcome outcome, String reason);
    }

    /**
     * What the store holds for a key.
     *
     * @param value null unless there is one; for DOUBTFUL the last one known, if any
     * @param expiresMs since 1970; 0 is never
     */
    public record Got(Kind kind, byte[] value, long expiresMs) {
        static final Got ABSENT = new Got(Kind.ABSENT, null, 0);
        static final Got DOUBTFUL = new Got(Kind.DOUBTFUL, null, 0);
        static final Got FAILED = new Got(Kind.FAILED, null, 0);

        /** Whether there is a value. */
        public enum Kind {
            VALUE,
            ABSENT,
            /** Damage has taken what may have been the newest write of this key. */
            DOUBTFUL,
            /** The disk could not be read. */
            FAILED
        }
    }

    /** Time that a store goes by. */
    public interface Time {
        Time SYSTEM = new Time() {
            @Override
            public long nowMs() {
                return System.currentTimeMillis();
            }

            @Override
            public long nanos() {
                return System.nanoTime();
            }
        };

        /** Milliseconds since 1970, for what expires. */
        long nowMs();

        /** Nanoseconds from anywhere, for pauses. */
        long nanos();
    }

    private record Read(byte[] key, Consumer<Got> to) {}

    private final StoreSettings settings;
    private final Time time;
    private final Executor callbacks;
    private final EventLog log;
    private final Log files;
    private final Deque<Write> writes = new ArrayDeque<>();
    private final Deque<Read> reads = new ArrayDeque<>();
    private final Object readsLock = new Object();
    private final Thread writer;
    private final Thread reader;
    private final Thread background;
    private long waitingBytes;
    private boolean closing;
    private volatile boolean stopped;
    private volatile WriteState.Mode mode = WriteState.Mode.OPEN;
    private Job offered;
    private Job finished;
    private IOException failure;
    private int refusedFull;

    private Store(Log files, StoreSettings settings, Time time, Executor callbacks, EventLog log) {
        this.files = files;
        this.settings = settings;
        this.time = time;
        this.callbacks = callbacks;
        this.log = log;
        writer = new Thread(this::write, "store-writer");
        reader = new Thread(this::read, "store-reader");
        background = new Thread(this::work, "store-background");
        for (Thread one : List.of(writer, reader, background)) {
            one.setDaemon(true);
            one.start();
        }
    }

    /**
     * Opens a folder; this reads the newest checkpoint and the log behind it, and may take seconds.
     *
     * @param callbacks runs what is told to callers, several at a time; the event loop, for one
     * @throws Disk.TakenException if another process has the folder
     * @throws StoreException if it holds what this program must not work on
     */
    public static Store open(Disk disk, StoreSettings settings, Time time, Executor callbacks, EventLog log)
            throws IOException {
        SecureRandom random = new SecureRandom();
        long begun = time.nanos();
        Log files = Log.open(disk, settings, log, random::nextLong, time.nowMs(), Recovery.Purpose.WORK);
        Recovery.Report report = files.recovered();
        log.info(
                "store_opened",
                "keys",
                report.keys(),
                "segments",
                report.segments(),
                "replayed",
                report.replayedRecords(),
                "read_bytes",
                report.readBytes(),
                "cut_bytes",
                report.cutBytes(),
                "damages",
                report.damages(),
                "checkpoint",
                report.fromCheckpoint(),
                "ms",
                (time.nanos() - begun) / 1_000_000);
        return new Store(files, settings, time, callbacks, log);
    }

    /**
     * Writes a key.
     *
     * @param expiresMs since 1970; 0 for never
     * @param done is told once, unless this returns a refusal
     * @return null if it is taken
     */
    public Refusal put(byte[] key, byte[] value, long expiresMs, Done done) {
        return batch().put(key, value, expiresMs, done).send();
    }

    /** Takes a key away; as {@link #put}. What makes room is taken in a full store, too. */
    public Refusal delete(byte[] key, Done done) {
        return batch().delete(key, done).send();
    }

    /** An empty batch. */
    public Batch batch() {
        return new Batch();
    }

    /**
     * Writes that are taken or refused together, and that share a sync as far as a group reaches: what one
     * turn of an event loop has to write. Each of them is held or not by itself.
     */
    public final class Batch {
        private final List<Write> all = new ArrayList<>(1);
        private long bytes;
        private boolean puts;
        private Refusal wrong;

        private Batch() {}

        /** As {@link Store#put}. */
        public Batch put(byte[] key, byte[] value, long expiresMs, Done done) {
            long life = settings.longestLifeMs();
            long now = expiresMs == 0 && life == 0 ? 0 : time.nowMs();
            if (expiresMs < 0
                    || expiresMs > 0 && expiresMs <= now
                    || life > 0 && (expiresMs == 0 || expiresMs > now + life)) {
                wrong = Refusal.BAD_EXPIRY;
            }
            puts = true;
            return add(new Write(key, value, expiresMs, done));
        }

        /** As {@link Store#delete}. */
        public Batch delete(byte[] key, Done done) {
            return add(new Write(key, null, 0, done));
        }

        private Batch add(Write write) {
            if (write.size() > settings.recordBytes()) {
                wrong = Refusal.TOO_LONG;
            }
            bytes += write.size();
            all.add(write);
            return this;
        }

        /** Hands them over; unless it returns null, none was taken and nobody is told anything. */
        public Refusal send() {
            return wrong != null
                    ? wrong
                    : mode == WriteState.Mode.FAILED
                            ? Refusal.FAILED
                            : puts && mode == WriteState.Mode.FULL ? Refusal.FULL : take(all, bytes);
        }
    }

    private Refusal take(List<Write> some, long bytes) {
        synchronized (writes) {
            if (closing) {
                return Refusal.CLOSED;
            }
            if (writes.size() + some.size() > settings.queueRecords() || waitingBytes + bytes > settings.queueBytes()) {
                refusedFull += some.size();
                return Refusal.QUEUE_FULL;
            }
            waitingBytes += bytes;
            boolean idle = writes.isEmpty();
            writes.addAll(some);
            if (idle) {
                writes.notifyAll();
            }
        }
        return null;
    }

    /** Reads a key; null if it is taken, and then {@code to} is told once. */
    public Refusal get(byte[] key, Consumer<Got> to) {
        synchronized (readsLock) {
            if (stopped) {
                return Refusal.CLOSED;
            }
            if (reads.size() >= settings.queueRecords()) {
                return Refusal.QUEUE_FULL;
            }
            reads.add(new Read(key, to));
            readsLock.notifyAll();
        }
        return null;
    }

    /** What the store holds and has done. Any thread. */
    public StoreStats stats() {
        return files.stats();
    }

    /** Writes and reads that wait, and writes that were turned away because too many did. */
    public Waiting waiting() {
        int waitingReads;
        synchronized (readsLock) {
            waitingReads = reads.size();
        }
        synchronized (writes) {
            return new Waiting(writes.size(), waitingBytes, waitingReads, refusedFull);
        }
    }

    /** See {@link #waiting}. */
    public record Waiting(int writes, long bytes, int reads, long refused) {}

    // ---- the writer's thread

    private void write() {
        List<Write> group = new ArrayList<>();
        boolean last = false;
        while (!last) {
            last = gather(group);
            try {
                turn(group);
            } catch (RuntimeException e) {
                log.error("store_fault", "reason", e.toString());
                group.stream()
                        .filter(write -> write.outcome == null)
                        .forEach(write -> write.end(Outcome.IN_DOUBT, "a fault in the program: " + e));
            }
            tell(group);
            group.clear();
        }
    }

    private void turn(List<Write> group) {
        if (!group.isEmpty()) {
            files.commit(group, time.nowMs());
        }
        endJob();
        files.tick(time.nowMs());
        mode = files.mode();
        offerJob();
    }

    /** Waits for something to do, and takes what makes a group; true when it was the last. */
    private boolean gather(List<Write> group) {
        long due = files.isBusy() ? 0 : files.dueMs(time.nowMs());
        synchronized (writes) {
            while (writes.isEmpty() && !closing && finished == null && time.nowMs() < due) {
                pause(writes, Math.max(1, due - time.nowMs()));
            }
            long bytes = 0;
            while (!writes.isEmpty()
                    && group.size() < settings.groupRecords()
                    && (group.isEmpty() || bytes + writes.peek().size() <= settings.groupBytes())) {
                Write next = writes.poll();
                bytes += next.size();
                group.add(next);
            }
            waitingBytes -= bytes;
            return closing && writes.isEmpty();
        }
    }

    private static void pause(Object on, long ms) {
        try {
            on.wait(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // nobody interrupts these threads: they end by close
        }
    }

    private void tell(List<Write> group) {
        if (!group.isEmpty()) {
            List<Write> told = List.copyOf(group);
            callbacks.execute(() -> told.forEach(write -> write.done.ended(write.outcome, write.reason)));
        }
    }

    private void offerJob() {
        synchronized (writes) {
            if (closing || offered != null || finished != null) {
                return;
            }
        }
        Job next = files.nextJob(time.nowMs());
        if (next != null) {
            synchronized (writes) {
                offered = next;
                writes.notifyAll();
            }
        }
    }

    private void endJob() {
        Job done;
        IOException why;
        synchronized (writes) {
            done = finished;
            why = failure;
            finished = null;
            failure = null;
        }
        if (done == null) {
            return;
        }
        try {
            if (why != null) {
                throw why;
            }
            files.jobDone();
        } catch (IOException e) {
            files.jobFailed(e, time.nowMs());
        }
    }

    // ---- the background thread

    private void work() {
        Pace pace = new Pace(settings.compactBytesPerS(), time.nanos());
        while (true) {
            Job job;
            synchronized (writes) {
                while (offered == null && !closing) {
                    pause(writes, 1_000);
                }
                if (closing) {
                    return;
                }
                job = offered;
            }
            IOException why = null;
            try {
                while (job.step()) {
                    LockSupport.parkNanos(pace.done(job.moved, time.nanos()));
                    if (stopsWork()) {
                        return;
                    }
                }
            } catch (IOException e) {
                why = e;
            } catch (RuntimeException e) {
                why = new IOException("a fault in the program: " + e, e);
            }
            synchronized (writes) {
                offered = null;
                finished = job;
                failure = why;
                writes.notifyAll();
            }
        }
    }

    private boolean stopsWork() {
        synchronized (writes) {
            return closing;
        }
    }

    // ---- the reader's thread

    private void read() {
        List<Read> some = new ArrayList<>();
        List<Runnable> told = new ArrayList<>();
        while (true) {
            synchronized (readsLock) {
                while (reads.isEmpty() && !stopped) {
                    pause(readsLock, 1_000);
                }
                if (reads.isEmpty()) {
                    return;
                }
                while (!reads.isEmpty() && some.size() < 256) {
                    some.add(reads.poll());
                }
            }
            for (Read one : some) {
                Got got = got(one.key());
                told.add(() -> one.to().accept(got));
            }
            List<Runnable> all = List.copyOf(told);
            callbacks.execute(() -> all.forEach(Runnable::run));
            some.clear();
            told.clear();
        }
    }

    private Got got(byte[] key) {
        try {
            return files.get(key, time.nowMs());
        } catch (IOException | RuntimeException e) {
            log.error("store_read_failed", "reason", e.toString());
            return Got.FAILED;
        }
    }

    /**
     * Writes and reads what was taken, leaves a checkpoint and closes the files. Blocks; not for the event
     * loop. The callbacks of what was taken may come later than this returns.
     *
     * @throws IOException if the last file could not be ended well; what was acknowledged is there all the
     *     same
     */
    @Override
    public void close() throws IOException {
        synchronized (writes) {
            if (closing) {
                return;
            }
            closing = true;
            writes.notifyAll();
        }
        join(writer);
        join(background);
        synchronized (readsLock) {
            stopped = true;
            readsLock.notifyAll();
        }
        join(reader);
        try {
            files.finish(time.nowMs());
        } finally {
            files.close();
        }
    }

    /** Ends the threads and lets go of the folder as a crash would: what waits is told nothing. */
    public void abandon() {
        synchronized (writes) {
            closing = true;
            writes.clear();
            writes.notifyAll();
        }
        synchronized (readsLock) {
            stopped = true;
            reads.clear();
            readsLock.notifyAll();
        }
        join(writer);
        join(background);
        join(reader);
        try {
            files.shut();
        } catch (IOException e) {
            log.warn("store_close_failed", "reason", e.toString());
        }
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

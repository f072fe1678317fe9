package wheatspread.store;

import java.io.Closeable;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import wheatspread.disk.Disk;
import wheatspread.logging.EventLog;

/**
 * An embedded key-value store: keys and values are byte arrays with an expiry, stored in the files of a folder.
 * Callers never block: a write or a read is accepted or rejected immediately, and its outcome is reported later
 * through the executor passed to {@link #open}.
 *
 * <p>Threads: the methods may be called from any thread. Three threads do the work: {@link WriterLoop} appends to
 * the log, {@link ReaderLoop} looks up keys, {@link BackgroundLoop} runs checkpoints, compactions and deletions.
 * The owner must close the store; {@link #close} ends the threads and unlocks the folder. Invariant: every later
 * read finds a write that was reported as {@link Outcome#HELD}, even after a crash, as far as {@link
 * StoreSettings#sync} guarantees.
 */
public final class Store implements Closeable {
    /** The outcome of an accepted write. */
    public enum Outcome {
        /** The write is stored, with the durability of {@link StoreSettings#sync}. */
        HELD,
        /** The write is certainly not stored. */
        REFUSED,
        /**
         * The disk failed during the write: reads do not return the write now, but may return it after a crash in the
         * near future.
         */
        IN_DOUBT
    }

    /** The reason why a write or read was rejected. */
    public enum Rejection {
        /** The queue is full. */
        QUEUE_FULL,
        /** The store or its disk is full; deletions are still accepted. */
        FULL,
        /** A disk operation failed; the store retries on its own until writes succeed again. */
        FAILED,
        /** Key and value exceed {@link StoreSettings#maxRecordBytes}. */
        TOO_LONG,
        /** The expiry is in the past, or later than {@link StoreSettings#maxLifetimeMillis} allows. */
        BAD_EXPIRY,
        /** The store is closed. */
        CLOSED
    }

    /** Receives the outcome of a write; {@code reason} is null unless the write failed. */
    @FunctionalInterface
    public interface WriteCallback {
        void ended(Outcome outcome, String reason);
    }

    /**
     * The result of a read.
     *
     * @param value the value, or null; for DOUBTFUL the last known value, if any
     * @param expiresMillis the expiry in milliseconds since 1970; 0 if it never expires
     */
    public record ReadResult(Kind kind, byte[] value, long expiresMillis) {
        static final ReadResult ABSENT = new ReadResult(Kind.ABSENT, null, 0);
        static final ReadResult DOUBTFUL = new ReadResult(Kind.DOUBTFUL, null, 0);
        static final ReadResult FAILED = new ReadResult(Kind.FAILED, null, 0);

        /** Whether there is a value, or why there is none. */
        public enum Kind {
            VALUE,
            ABSENT,
            /** A record that was lost to damage may have been the newest write of this key. */
            DOUBTFUL,
            /** The disk could not be read. */
            FAILED
        }
    }

    /** The clocks of a store; replaced in tests. */
    public interface Clock {
        Clock SYSTEM = new Clock() {
            @Override
            public long nowMillis() {
                return System.currentTimeMillis();
            }

            @Override
            public long nanos() {
                return System.nanoTime();
            }
        };

        /** Returns milliseconds since 1970, against which expiries are compared. */
        long nowMillis();

        /** Returns nanoseconds since an arbitrary origin, for delays and durations. */
        long nanos();
    }

    private final StoreSettings settings;
    private final Clock clock;
    private final EventLog log;
    private final LogStructuredStore logStore;
    private final WriterQueue queue;
    private final WriterLoop writer;
    private final ReaderLoop reader;
    private final Thread writerThread;
    private final Thread readerThread;
    private final Thread backgroundThread;

    private Store(LogStructuredStore logStore, StoreSettings settings, Clock clock, Executor callbacks, EventLog log) {
        this.logStore = logStore;
        this.settings = settings;
        this.clock = clock;
        this.log = log;
        queue = new WriterQueue(settings, clock);
        writer = new WriterLoop(logStore, queue, clock, callbacks, log);
        reader = new ReaderLoop(logStore, settings, clock, callbacks, log);
        writerThread = start(writer, "store-writer");
        readerThread = start(reader, "store-reader");
        backgroundThread = start(new BackgroundLoop(queue, settings, clock), "store-background");
    }

    private Thread start(Runnable loop, String name) {
        Thread thread = new Thread(loop, name);
        thread.setUncaughtExceptionHandler(
                (failed, e) -> log.error("store_fault", "thread", failed.getName(), "reason", e.toString()));
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /**
     * Opens a folder. Reads the newest checkpoint and the log after it, which may take seconds.
     *
     * @param callbacks runs the callbacks, several per task; for example an event loop
     * @throws Disk.FolderLockedException if another process has locked the folder
     * @throws StoreException if the folder contains files that this program cannot or must not use
     */
    public static Store open(Disk disk, StoreSettings settings, Clock clock, Executor callbacks, EventLog log)
            throws IOException {
        SecureRandom random = new SecureRandom();
        long startNanos = clock.nanos();
        LogStructuredStore logStore = LogStructuredStore.open(
                disk, settings, log, random::nextLong, clock.nowMillis(), Recovery.Purpose.READ_WRITE);
        Recovery.Report report = logStore.recovered();
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
                (clock.nanos() - startNanos) / 1_000_000);
        return new Store(logStore, settings, clock, callbacks, log);
    }

    /**
     * Writes a key.
     *
     * @param expiresMillis the expiry in milliseconds since 1970; 0 if the value never expires
     * @param callback called once if the write is accepted
     * @return null if the write is accepted
     */
    public Rejection put(byte[] key, byte[] value, long expiresMillis, WriteCallback callback) {
        return batch().put(key, value, expiresMillis, callback).send();
    }

    /**
     * Deletes a key; the parameters and the result are those of {@link #put}. A full store accepts deletions, because
     * they free space.
     */
    public Rejection delete(byte[] key, WriteCallback callback) {
        return batch().delete(key, callback).send();
    }

    /** Creates an empty batch. */
    public Batch batch() {
        return new Batch();
    }

    /**
     * Writes that are accepted or rejected together, and that share a sync if they fit into a group: for example all
     * writes of an event-loop iteration. Each write has its own outcome.
     */
    public final class Batch {
        private final List<Write> writes = new ArrayList<>(1);
        private long bytes;
        private boolean hasPuts;
        private Rejection rejection;

        private Batch() {}

        /** Adds a write, like {@link Store#put}. */
        public Batch put(byte[] key, byte[] value, long expiresMillis, WriteCallback callback) {
            long maxLifetimeMillis = settings.maxLifetimeMillis();
            long nowMillis = expiresMillis == 0 && maxLifetimeMillis == 0 ? 0 : clock.nowMillis();
            if (expiresMillis < 0
                    || expiresMillis > 0 && expiresMillis <= nowMillis
                    || maxLifetimeMillis > 0 && (expiresMillis == 0 || expiresMillis > nowMillis + maxLifetimeMillis)) {
                rejection = Rejection.BAD_EXPIRY;
            }
            hasPuts = true;
            return add(new Write(key, value, expiresMillis, callback));
        }

        /** Adds a deletion, like {@link Store#delete}. */
        public Batch delete(byte[] key, WriteCallback callback) {
            return add(new Write(key, null, 0, callback));
        }

        private Batch add(Write write) {
            if (write.size() > settings.maxRecordBytes()) {
                rejection = Rejection.TOO_LONG;
            }
            bytes += write.size();
            writes.add(write);
            return this;
        }

        /** Submits the writes. Returns null if they are accepted; otherwise no callback is called. */
        public Rejection send() {
            if (rejection != null) {
                return rejection;
            }
            WriteState.Mode mode = writer.mode();
            if (mode == WriteState.Mode.FAILED) {
                return Rejection.FAILED;
            }
            return hasPuts && mode == WriteState.Mode.FULL ? Rejection.FULL : queue.add(writes, bytes);
        }
    }

    /** Reads a key. Returns null if the read is accepted; then {@code callback} is called once. */
    public Rejection get(byte[] key, Consumer<ReadResult> callback) {
        return reader.add(key, callback);
    }

    /**
     * Returns the statistics of the store, which include every write whose outcome was reported. May be called from
     * any thread.
     */
    public StoreStats stats() {
        return writer.stats();
    }

    /** Returns the state of the queues. May be called from any thread. */
    public QueueStats queueStats() {
        return queue.stats(reader.pendingReads());
    }

    /** The pending writes with their bytes, the pending reads, and the writes rejected because the queue was full. */
    public record QueueStats(int pendingWrites, long pendingBytes, int pendingReads, long rejectedWrites) {}

    /**
     * Completes all accepted writes and reads, writes a checkpoint and closes the files. Blocks, so it must not be
     * called on an event loop. Callbacks may run after this method returns.
     *
     * @throws IOException if the active segment could not be sealed; acknowledged writes are kept nevertheless
     */
    @Override
    public void close() throws IOException {
        if (!queue.close()) {
            return;
        }
        join(writerThread);
        join(backgroundThread);
        reader.stop();
        join(readerThread);
        try {
            logStore.finish(clock.nowMillis());
        } finally {
            logStore.close();
        }
    }

    /** Ends the threads and unlocks the folder as a crash would: pending writes and reads get no callback. */
    public void abandon() {
        queue.abandon();
        reader.abandon();
        join(writerThread);
        join(backgroundThread);
        join(readerThread);
        try {
            logStore.closeFiles();
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

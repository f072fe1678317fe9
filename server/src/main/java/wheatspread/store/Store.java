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
 * An embedded key-value store: keys and values are byte arrays with an expiry, kept in the files of one folder.
 * Callers never block: a write or a read is accepted or rejected at once, and its outcome is reported later
 * through the executor that was given to {@link #open}.
 *
 * <p>Threads: the methods may be called from any thread. Three threads do the work: {@link WriterLoop} owns the
 * log, {@link ReaderLoop} looks up keys, {@link BackgroundLoop} runs checkpoints, compactions and deletions.
 * Whoever opens a store closes it; {@link #close} ends the threads and releases the folder. Invariant: a write
 * that was reported as {@link Outcome#HELD} is found by every later read, also after a crash, as far as {@link
 * StoreSettings#sync} promises.
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

    /** Why a write or read was rejected. */
    public enum Rejection {
        /** As much as may wait waits already. */
        QUEUE_FULL,
        /** The store or its disk is full; deletions are still accepted. */
        FULL,
        /** The disk fails; the store tries to come back by itself. */
        FAILED,
        /** Key and value are longer than a record may be. */
        TOO_LONG,
        /** It would expire later than the settings allow, or has expired. */
        BAD_EXPIRY,
        CLOSED
    }

    /** Receives the outcome of a write; {@code reason} is null unless it failed. */
    @FunctionalInterface
    public interface WriteCallback {
        void ended(Outcome outcome, String reason);
    }

    /**
     * What the store holds for a key.
     *
     * @param value null unless there is one; for DOUBTFUL the last one known, if any
     * @param expiresMillis since 1970; 0 is never
     */
    public record ReadResult(Kind kind, byte[] value, long expiresMillis) {
        static final ReadResult ABSENT = new ReadResult(Kind.ABSENT, null, 0);
        static final ReadResult DOUBTFUL = new ReadResult(Kind.DOUBTFUL, null, 0);
        static final ReadResult FAILED = new ReadResult(Kind.FAILED, null, 0);

        /** Whether there is a value. */
        public enum Kind {
            VALUE,
            ABSENT,
            /** A damaged record may have been the newest write of this key. */
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

        /** Milliseconds since 1970, for what expires. */
        long nowMillis();

        /** Nanoseconds from anywhere, for pauses. */
        long nanos();
    }

    private final StoreSettings settings;
    private final Clock time;
    private final EventLog log;
    private final LogStructuredStore files;
    private final WriterQueue queue;
    private final WriterLoop writer;
    private final ReaderLoop reader;
    private final Thread writerThread;
    private final Thread readerThread;
    private final Thread backgroundThread;

    private Store(LogStructuredStore files, StoreSettings settings, Clock time, Executor callbacks, EventLog log) {
        this.files = files;
        this.settings = settings;
        this.time = time;
        this.log = log;
        queue = new WriterQueue(settings, time);
        writer = new WriterLoop(files, queue, time, callbacks, log);
        reader = new ReaderLoop(files, settings, time, callbacks, log);
        writerThread = start(writer, "store-writer");
        readerThread = start(reader, "store-reader");
        backgroundThread = start(new BackgroundLoop(queue, settings, time), "store-background");
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
     * Opens a folder; this reads the newest checkpoint and the log behind it, and may take seconds.
     *
     * @param callbacks runs the callbacks, several in one task; an event loop, for example
     * @throws Disk.TakenException if another process has the folder
     * @throws StoreException if it holds what this program must not work on
     */
    public static Store open(Disk disk, StoreSettings settings, Clock time, Executor callbacks, EventLog log)
            throws IOException {
        SecureRandom random = new SecureRandom();
        long startNanos = time.nanos();
        LogStructuredStore files = LogStructuredStore.open(
                disk, settings, log, random::nextLong, time.nowMillis(), Recovery.Purpose.READ_WRITE);
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
                (time.nanos() - startNanos) / 1_000_000);
        return new Store(files, settings, time, callbacks, log);
    }

    /**
     * Writes a key.
     *
     * @param expiresMillis since 1970; 0 for never
     * @param done is called once, unless this returns a refusal
     * @return null if it is accepted
     */
    public Rejection put(byte[] key, byte[] value, long expiresMs, WriteCallback done) {
        return batch().put(key, value, expiresMs, done).send();
    }

    /** Deletes a key; as {@link #put}. A full store accepts deletions, since they free space. */
    public Rejection delete(byte[] key, WriteCallback done) {
        return batch().delete(key, done).send();
    }

    /** An empty batch. */
    public Batch batch() {
        return new Batch();
    }

    /**
     * Writes that are accepted or rejected together, and that share a sync as far as a group reaches: for example all
     * writes of one event-loop iteration. Each has its own outcome.
     */
    public final class Batch {
        private final List<Write> all = new ArrayList<>(1);
        private long bytes;
        private boolean puts;
        private Rejection wrong;

        private Batch() {}

        /** As {@link Store#put}. */
        public Batch put(byte[] key, byte[] value, long expiresMs, WriteCallback done) {
            long life = settings.maxLifetimeMillis();
            long now = expiresMs == 0 && life == 0 ? 0 : time.nowMillis();
            if (expiresMs < 0
                    || expiresMs > 0 && expiresMs <= now
                    || life > 0 && (expiresMs == 0 || expiresMs > now + life)) {
                wrong = Rejection.BAD_EXPIRY;
            }
            puts = true;
            return add(new Write(key, value, expiresMs, done));
        }

        /** As {@link Store#delete}. */
        public Batch delete(byte[] key, WriteCallback done) {
            return add(new Write(key, null, 0, done));
        }

        private Batch add(Write write) {
            if (write.size() > settings.maxRecordBytes()) {
                wrong = Rejection.TOO_LONG;
            }
            bytes += write.size();
            all.add(write);
            return this;
        }

        /** Submits the writes; unless it returns null, none was accepted and no callback is called. */
        public Rejection send() {
            if (wrong != null) {
                return wrong;
            }
            WriteState.Mode mode = writer.mode();
            if (mode == WriteState.Mode.FAILED) {
                return Rejection.FAILED;
            }
            return puts && mode == WriteState.Mode.FULL ? Rejection.FULL : queue.add(all, bytes);
        }
    }

    /** Reads a key; returns null if the read is accepted, and then {@code to} is called once. */
    public Rejection get(byte[] key, Consumer<ReadResult> to) {
        return reader.add(key, to);
    }

    /** What the store holds and has done. Any thread. */
    public StoreStats stats() {
        return files.stats();
    }

    /** Writes and reads that wait, and writes that were rejected because the queue was full. */
    public Waiting waiting() {
        return queue.waiting(reader.waiting());
    }

    /** See {@link #waiting}. */
    public record Waiting(int writes, long bytes, int reads, long refused) {}

    /**
     * Completes all accepted writes and reads, writes a checkpoint and closes the files. Blocks, so it must not be
     * called on an event loop. Callbacks may run after it returns.
     *
     * @throws IOException if the last file could not be ended well; what was acknowledged is there all the
     *     same
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
            files.finish(time.nowMillis());
        } finally {
            files.close();
        }
    }

    /** Ends the threads and releases the folder as a crash would: waiting writes and reads get no callback. */
    public void abandon() {
        queue.abandon();
        reader.abandon();
        join(writerThread);
        join(backgroundThread);
        join(readerThread);
        try {
            files.closeFiles();
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

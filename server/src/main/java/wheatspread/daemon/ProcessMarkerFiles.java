package wheatspread.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;
import wheatspread.config.LifeConfig;
import wheatspread.logging.EventLog;

/**
 * The files by which a supervisor observes a process: a lock file that the process holds while it runs, a ready file
 * that exists while it serves, and a report of its drain. Each file is optional.
 *
 * <p>The lock is taken on the calling thread. The other files are written by a thread of this object, since a disk may
 * stall. A failed write is logged, and the process continues. {@link Server#awaitStopped} closes this object.
 */
public final class ProcessMarkerFiles implements AutoCloseable {
    /** How long the exit of the process waits for pending writes. */
    private static final int CLOSE_TIMEOUT_MILLIS = 300;
    /** Several attempts are made, since a supervisor that checks whether the lock is held takes the lock briefly. */
    private static final int MAX_LOCK_ATTEMPTS = 6;

    private static final int LOCK_RETRY_MILLIS = 40;

    /** Thrown when another process holds the lock. */
    public static final class LockTakenException extends Exception {
        private static final long serialVersionUID = 1L;

        LockTakenException(Path file) {
            super("lock file " + file + " is held by another process: this server is already running");
        }
    }

    private final LifeConfig files;
    private final EventLog log;
    /** Null if neither a ready file nor a report file is configured. */
    private final ExecutorService writer;
    /** The channel that holds the lock, open while the process runs; null if no lock file is configured. */
    private FileChannel lock;

    ProcessMarkerFiles(LifeConfig files, EventLog log) {
        this.files = files;
        this.log = log;
        boolean writesFiles = files.readyFile() != null || files.reportFile() != null;
        writer = writesFiles ? Executors.newSingleThreadExecutor(this::newThread) : null;
    }

    private Thread newThread(Runnable task) {
        Thread thread = new Thread(task, "marker-files");
        thread.setDaemon(true);
        thread.setUncaughtExceptionHandler(
                (failed, cause) -> log.error("thread_failed", "thread", failed.getName(), "error", cause));
        return thread;
    }

    /**
     * Takes the lock, writes name and mark into the lock file, and removes the ready file and the report of a process
     * that was killed. The operating system releases the lock on every kind of exit.
     *
     * @throws LockTakenException if another process holds the lock
     */
    void lock(String name, String mark) throws IOException, LockTakenException {
        if (files.lockFile() == null) {
            return;
        }
        lock = FileChannel.open(files.lockFile(), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        if (!tryLock()) {
            lock.close();
            throw new LockTakenException(files.lockFile());
        }
        JSONObject identity = identity(name).put("mark", mark);
        lock.truncate(0);
        lock.write(ByteBuffer.wrap((identity + "\n").getBytes(StandardCharsets.UTF_8)));
        if (files.readyFile() != null) {
            Files.deleteIfExists(files.readyFile());
        }
        if (files.reportFile() != null) {
            Files.deleteIfExists(files.reportFile());
        }
    }

    private boolean tryLock() throws IOException {
        for (int attempt = 0; attempt < MAX_LOCK_ATTEMPTS; attempt++) {
            if (tryLockAfter(attempt == 0 ? 0 : LOCK_RETRY_MILLIS) != null) {
                return true;
            }
        }
        return false;
    }

    /** Returns the lock; null if it is held by another process or the thread is interrupted. */
    private FileLock tryLockAfter(int delayMillis) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(delayMillis);
            return lock.tryLock();
        } catch (OverlappingFileLockException e) {
            return null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
    }

    /** Writes the ready file; {@code readyAtMillis} is the Unix time at which the process began to serve. */
    void writeReadyFile(String name, List<InetSocketAddress> boundAddresses, long readyAtMillis) {
        List<String> listen = boundAddresses.stream()
                .map(address -> address.getHostString() + ":" + address.getPort())
                .toList();
        write(files.readyFile(), identity(name).put("listen", listen).put("at", readyAtMillis));
    }

    private static JSONObject identity(String name) {
        return new JSONObject()
                .put("name", name)
                .put("pid", ProcessHandle.current().pid());
    }

    /** Removes the ready file, if one is configured. */
    void removeReadyFile() {
        if (files.readyFile() != null) {
            writer.execute(() -> {
                try {
                    Files.deleteIfExists(files.readyFile());
                } catch (IOException e) {
                    log.warn("marker_file_failed", "file", files.readyFile(), "error", e);
                }
            });
        }
    }

    /** Writes the report of the drain, if a report file is configured. */
    void writeReport(JSONObject report) {
        write(files.reportFile(), report);
    }

    private void write(Path file, JSONObject content) {
        if (file == null) {
            return;
        }
        CompletableFuture.runAsync(
                () -> {
                    try {
                        AtomicFile.write(file, content + "\n");
                    } catch (IOException e) {
                        log.warn("marker_file_failed", "file", file, "error", e);
                    }
                },
                writer);
    }

    /** Waits for pending writes, for at most {@link #CLOSE_TIMEOUT_MILLIS}. */
    @Override
    public void close() {
        if (writer != null) {
            writer.shutdown();
            try {
                writer.awaitTermination(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}

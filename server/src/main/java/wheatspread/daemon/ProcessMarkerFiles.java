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
 * The files by which a supervisor knows a process: a lock file that it holds while it runs, a ready file that exists
 * while it serves, and the report of its drain. Each is optional.
 *
 * <p>The lock is taken on the calling thread. The other files are written by a thread of this object, since a disk may
 * stall; what fails is logged, and the process goes on. {@link Server#awaitStopped} closes it.
 */
public final class ProcessMarkerFiles implements AutoCloseable {
    /** How long the end of the process waits for the files. */
    private static final int CLOSE_TIMEOUT_MILLIS = 300;
    /** A supervisor that checks whether the lock is held takes it for a moment, so one attempt may fail. */
    private static final int MAX_LOCK_ATTEMPTS = 6;

    private static final int LOCK_RETRY_MILLIS = 40;

    /** Another process holds the lock. */
    public static final class LockTakenException extends Exception {
        private static final long serialVersionUID = 1L;

        LockTakenException(Path file) {
            super(file + " is locked: this server runs already");
        }
    }

    private final LifeConfig files;
    private final EventLog log;
    /** Null where neither a ready file nor a report is asked for. */
    private final ExecutorService writer;
    /** Open as long as the process runs; null without a lock file. */
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
     * Takes the lock file, writes name and mark into it, and removes the ready file and the report of a process that
     * was killed. The system releases the lock when the process ends, however it ends.
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

    /** Null where it is not free. */
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

    /** Writes the ready file: the process of this name serves at these addresses since this Unix time. */
    void ready(String name, List<InetSocketAddress> bound, long atMillis) {
        List<String> listen = bound.stream()
                .map(address -> address.getHostString() + ":" + address.getPort())
                .toList();
        write(files.readyFile(), identity(name).put("listen", listen).put("at", atMillis));
    }

    private static JSONObject identity(String name) {
        return new JSONObject()
                .put("name", name)
                .put("pid", ProcessHandle.current().pid());
    }

    /** Removes the ready file. */
    void notReady() {
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

    /** Writes the report of the drain. */
    void report(JSONObject report) {
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

    /** Waits for what is still to be written, for {@link #CLOSE_TIMEOUT_MILLIS} at most. */
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

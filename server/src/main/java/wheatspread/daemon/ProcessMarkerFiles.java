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
 * The files by which a supervisor knows a process: a lock held while it lives, a mark that it is ready, and
 * the report of its drain. They are written by a thread of their own, since a disk may stall; what fails is
 * logged, and the process goes on.
 */
public final class ProcessMarkerFiles implements AutoCloseable {
    private static final int LAST_WRITE_MS = 300;
    private static final int LOCK_TRIES = 6;
    private static final int LOCK_WAIT_MS = 40;

    /** Another process holds the lock. */
    public static final class Taken extends Exception {
        private static final long serialVersionUID = 1L;

        Taken(Path file) {
            super(file + " is locked: this server runs already");
        }
    }

    private final LifeConfig files;
    private final EventLog log;
    private final ExecutorService disk;
    private FileChannel lock;

    ProcessMarkerFiles(LifeConfig files, EventLog log) {
        this.files = files;
        this.log = log;
        boolean none = files.readyFile() == null && files.reportFile() == null;
        disk = none
                ? null
                : Executors.newSingleThreadExecutor(task -> {
                    Thread thread = new Thread(task, "marks");
                    thread.setDaemon(true);
                    return thread;
                });
    }

    /**
     * Takes the lock, in which name and mark then stand, for good; the system lets go of it when the process
     * ends, however it ends.
     */
    void lock(String name, String mark) throws IOException, Taken {
        if (files.lockFile() == null) {
            return;
        }
        lock = FileChannel.open(files.lockFile(), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock taken = null;
        for (int i = 0; i < LOCK_TRIES && taken == null; i++) {
            taken = tryLock(i);
        }
        if (taken == null) {
            lock.close();
            throw new Taken(files.lockFile());
        }
        JSONObject identity = identity(name).put("mark", mark);
        lock.truncate(0);
        lock.write(ByteBuffer.wrap((identity + "\n").getBytes(StandardCharsets.UTF_8)));
        if (files.readyFile() != null) {
            Files.deleteIfExists(files.readyFile()); // of one that was killed
        }
        if (files.reportFile() != null) {
            Files.deleteIfExists(files.reportFile());
        }
    }

    /** A supervisor that looks whether the lock is held takes it for a moment. */
    private FileLock tryLock(int round) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(round == 0 ? 0 : LOCK_WAIT_MS);
            return lock.tryLock();
        } catch (OverlappingFileLockException e) {
            return null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
    }

    /** Marks the process of this name as ready at these addresses since {@code atMillis}, Unix time. */
    void ready(String name, List<InetSocketAddress> bound, long atMillis) {
        List<String> listen = bound.stream()
                .map(one -> one.getHostString() + ":" + one.getPort())
                .toList();
        write(files.readyFile(), identity(name).put("listen", listen).put("at", atMillis));
    }

    private static JSONObject identity(String name) {
        return new JSONObject()
                .put("name", name)
                .put("pid", ProcessHandle.current().pid());
    }

    void notReady() {
        if (files.readyFile() != null) {
            disk.execute(() -> {
                try {
                    Files.deleteIfExists(files.readyFile());
                } catch (IOException e) {
                    log.warn("mark_failed", "file", files.readyFile(), "error", e);
                }
            });
        }
    }

    void report(JSONObject report) {
        write(files.reportFile(), report);
    }

    private void write(Path file, JSONObject text) {
        if (file == null) {
            return;
        }
        CompletableFuture.runAsync(
                () -> {
                    try {
                        AtomicFile.write(file, text + "\n");
                    } catch (IOException e) {
                        log.warn("mark_failed", "file", file, "error", e);
                    }
                },
                disk);
    }

    /** Waits a little for what is still to be written. */
    @Override
    public void close() {
        if (disk != null) {
            disk.shutdown();
            try {
                disk.awaitTermination(LAST_WRITE_MS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}

package wheatspread.daemon;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import wheatspread.config.ServerConfig;
import wheatspread.logging.EventLog;

/** What SIGHUP brings: reads and checks a configuration whole before anything changes, and counts. */
final class ConfigReloader {
    private final ServerConfig config;
    private final Consumer<ServerConfig> takeOver;
    private final EventLog log;
    private final AtomicLong taken = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();

    /**
     * {@code config} is what the process was started with; {@code takeOver} takes one over and calls
     * {@link #taken}, or throws.
     */
    ConfigReloader(ServerConfig config, Consumer<ServerConfig> takeOver, EventLog log) {
        this.config = config;
        this.takeOver = takeOver;
        this.log = log;
    }

    /**
     * Reads a configuration on the caller's thread and hands it on; one that is wrong changes nothing. One
     * at a time, or an older file might be taken over behind a newer one, and several would take the memory
     * of one each. Whatever is thrown, an {@link Error} too, counts as a refusal, so that each call moves one
     * of the counts by one.
     */
    synchronized void read(Supplier<ServerConfig> reader) {
        try {
            ServerConfig next = reader.get();
            config.requireWhatItHad(next);
            takeOver.accept(next);
        } catch (Throwable e) {
            refuse(e);
        }
    }

    private void refuse(Throwable why) {
        refused.incrementAndGet(); // first, since the log may need memory that is not there
        log.warn("reload_refused", "reason", why instanceof RuntimeException ? why.getMessage() : why.toString());
    }

    /** A file was taken over. */
    void taken() {
        taken.incrementAndGet();
    }

    long takenSoFar() {
        return taken.get();
    }

    long refusedSoFar() {
        return refused.get();
    }
}

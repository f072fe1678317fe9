package wheatspread.daemon;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import wheatspread.config.ServerConfig;
import wheatspread.logging.EventLog;

/** What SIGHUP brings: reads and checks a configuration whole before anything changes, and counts. */
final class Reloads {
    private final ServerConfig config;
    private final EventLog log;
    private final AtomicLong taken = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();

    /** {@code config} is what the process was started with. */
    Reloads(ServerConfig config, EventLog log) {
        this.config = config;
        this.log = log;
    }

    /**
     * Reads a configuration and hands it on, on the caller's thread; one that is wrong changes nothing. One
     * at a time, or an older file might be taken over behind a newer one.
     */
    synchronized void read(Supplier<ServerConfig> reader, Consumer<ServerConfig> takeOver) {
        try {
            ServerConfig next = reader.get();
            config.requireWhatItHad(next);
            takeOver.accept(next);
        } catch (RuntimeException e) { // a file that cannot be read or checked changes nothing
            refuse(e);
        }
    }

    /** A file was turned down. */
    void refuse(RuntimeException why) {
        refused.incrementAndGet();
        log.warn("reload_refused", "reason", why.getMessage());
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

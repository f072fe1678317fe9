package wheatspread.daemon;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import wheatspread.config.ServerConfig;
import wheatspread.logging.EventLog;

/**
 * What SIGHUP does:
 *
 * <ol>
 * <li>The signal's thread reads the whole configuration and checks it; {@link ServerConfig#requireNoServiceRemoved}
 * rejects
 *     one that lacks what the process was started with.
 * <li>The loop's thread applies it by {@link ReloadApplier}, which lists what a reload changes. Everything else in the
 *     file holds from the next start on, and the log says so ({@code needs_start}).
 * <li>One of the two counters of the operators' endpoint goes up by one.
 * </ol>
 *
 * <p>A configuration that is not valid, or comes while the process closes, changes nothing. Any thread may call.
 */
final class ConfigReloader {
    private final ServerConfig startConfig;
    private final Consumer<ServerConfig> applier;
    private final EventLog log;
    private final AtomicLong applied = new AtomicLong();
    private final AtomicLong rejected = new AtomicLong();

    /**
     * A reloader for a process that was started with {@code startConfig}. {@code applier} returns once a configuration
     * is applied, or throws.
     */
    ConfigReloader(ServerConfig startConfig, Consumer<ServerConfig> applier, EventLog log) {
        this.startConfig = startConfig;
        this.applier = applier;
        this.log = log;
    }

    /**
     * Reads a configuration on the calling thread and applies it. One call runs at a time: otherwise an older file
     * could be applied after a newer one, and each would take the memory of a configuration. Whatever is thrown, an
     * {@link Error} too, counts as rejected, so that each call moves one counter by one.
     */
    synchronized void reload(Supplier<ServerConfig> reader) {
        try {
            ServerConfig next = reader.get();
            startConfig.requireNoServiceRemoved(next);
            applier.accept(next);
            applied.incrementAndGet();
        } catch (Throwable e) {
            reject(e);
        }
    }

    private void reject(Throwable cause) {
        rejected.incrementAndGet(); // first, since the log may need memory that is not there
        log.warn(
                "reload_rejected", "reason", cause instanceof RuntimeException ? cause.getMessage() : cause.toString());
    }

    long appliedCount() {
        return applied.get();
    }

    long rejectedCount() {
        return rejected.get();
    }
}

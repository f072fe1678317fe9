package wheatspread.daemon;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import wheatspread.config.ServerConfig;
import wheatspread.logging.EventLog;

/**
 * Reloads the configuration on SIGHUP:
 *
 * <ol>
 * <li>The signal handler's thread reads and validates the whole configuration;
 *     {@link ServerConfig#requireNoServiceRemoved} rejects a configuration that lacks a service with which the process
 *     was started.
 * <li>The event loop's thread applies it with {@link ReloadApplier}, which lists the settings that a reload
 *     changes. All other settings take effect at the next start, which the log reports ({@code needs_start}).
 * <li>The counter of applied or that of rejected reloads, shown by the operators' endpoint, is incremented.
 * </ol>
 *
 * <p>A configuration that is invalid, or is read while the process is closing, changes nothing. Thread-safe.
 */
final class ConfigReloader {
    private final ServerConfig startConfig;
    private final Consumer<ServerConfig> applier;
    private final EventLog log;
    private final AtomicLong applied = new AtomicLong();
    private final AtomicLong rejected = new AtomicLong();

    /**
     * Creates a reloader for a process that was started with {@code startConfig}. {@code applier} applies a
     * configuration before it returns, or throws.
     */
    ConfigReloader(ServerConfig startConfig, Consumer<ServerConfig> applier, EventLog log) {
        this.startConfig = startConfig;
        this.applier = applier;
        this.log = log;
    }

    /**
     * Reads a configuration on the calling thread and applies it. Calls are serialized: otherwise an older file could
     * be applied after a newer one, and each concurrent call would need the memory of one configuration. Every
     * exception, including an {@link Error}, counts as a rejection, so that each call increments exactly one counter.
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
        rejected.incrementAndGet(); // before logging, which may fail for lack of memory
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

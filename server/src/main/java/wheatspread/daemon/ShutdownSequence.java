package wheatspread.daemon;

import java.util.function.Consumer;
import wheatspread.config.ServerConfig;
import wheatspread.lifecycle.Lifecycle;
import wheatspread.lifecycle.Lifecycle.Event;

/**
 * The shutdown of the process, from SIGTERM to its exit:
 *
 * <ol>
 * <li>The signal handler's thread records the time and passes the signal to the event loop ({@link Server#signal}). All
 *     deadlines are relative to that time, even if a busy event loop handles the signal late.
 * <li>{@link Lifecycle} enters {@code DRAINING}, and {@link #beginDrain} removes the ready file, notifies every client
 *     that the server is draining, leaves the cluster of peers, and stops accepting on an inherited listening socket,
 *     which the next process uses. {@link GracefulShutdown} then follows the steps of
 *     {@link wheatspread.lifecycle.DrainDeadlines}: it continues to serve during the grace period, closes the
 *     listeners, and waits until every request is answered, or until shortly before the process is killed.
 * <li>{@link Lifecycle} enters {@code CLOSING}, and {@link #close} writes the report of the drain, closes the
 *     connections to the other services and to clients, and gives clients a short time to read their last answers.
 * <li>{@link Lifecycle} enters {@code STOPPED}; {@link Server#awaitStopped} terminates the event loop and returns the
 *     exit code.
 * </ol>
 *
 * <p>A second SIGTERM has no effect. A second SIGINT ({@link #answerImmediately}) ends the grace period and rejects all
 * requests that have not started. All methods are called on the event loop's thread.
 */
final class ShutdownSequence {
    private final ServerConfig config;
    private final ServerComponents components;
    private final Lifecycle lifecycle;
    /** The time of the first drain signal, in Unix microseconds; 0 before it. */
    private long signalledAtMicros;

    ShutdownSequence(ServerConfig config, ServerComponents components, Lifecycle lifecycle) {
        this.config = config;
        this.components = components;
        this.lifecycle = lifecycle;
    }

    /** Records the time of a drain signal; only the first signal counts. */
    void recordSignalTime(long receivedAtMicros) {
        if (signalledAtMicros == 0) {
            signalledAtMicros = receivedAtMicros;
        }
    }

    /** Starts the drain, after a signal or because the kernel was not ready in time. */
    void beginDrain() {
        recordSignalTime(components.eventLoop().clock().nowMicros());
        components.markerFiles().removeReadyFile();
        long graceMicros = config.site().settings().limits().drainGraceMicros();
        components
                .shutdown()
                .begin(signalledAtMicros, config.shutdownTimeoutMicros(), graceMicros, lifecycle.kernelWasReady());
        if (components.membership() != null) {
            components.membership().leave();
        }
        components.listeners().releaseInherited();
    }

    /** Ends the grace period of the drain; does nothing before the drain. */
    void answerImmediately() {
        components.shutdown().answerImmediately();
    }

    /** Closes all connections; {@code closed} receives {@link Event#CLOSED} after the last connection is closed. */
    void close(Consumer<Event> closed) {
        components.shutdown().logReport();
        components.counterReporter().logCounters();
        closePeers();
        components.kernel().close();
        components.records().close();
        components.announceClient().close();
        components.shutdown().close(components.listeners().controlListener(), () -> closed.accept(Event.CLOSED));
    }

    /** Closes the components that were opened before an address could not be bound. */
    void closeAfterFailedBind() {
        components.listeners().close();
        closePeers();
        components.kernel().close();
    }

    private void closePeers() {
        if (components.membership() != null) {
            components.membership().close();
        }
    }
}

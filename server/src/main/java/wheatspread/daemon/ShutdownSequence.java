package wheatspread.daemon;

import java.util.function.Consumer;
import wheatspread.config.ServerConfig;
import wheatspread.lifecycle.Lifecycle;
import wheatspread.lifecycle.Lifecycle.Event;

/**
 * What happens from SIGTERM to the exit of the process:
 *
 * <ol>
 * <li>The signal's thread notes the time and hands the signal to the loop ({@link Server#notice}). All deadlines run
 *     from that time, however late a busy loop comes to it.
 * <li>{@link Lifecycle} enters {@code DRAINING}, and {@link #beginDrain} removes the ready file, has every caller
 *     notified that the server drains, leaves the cluster of peers, and leaves an inherited listening socket to the
 *     next process. {@link GracefulShutdown} then follows the steps of
 *     {@link wheatspread.lifecycle.DrainDeadlines}: it serves on for the grace, closes the listeners, and waits until
 *     every request is answered, or until shortly before the process is killed.
 * <li>{@link Lifecycle} enters {@code CLOSING}, and {@link #close} writes the report of the drain, closes the links to
 *     the other services and the connections of callers, and gives those a short time to read their last answers.
 * <li>{@link Lifecycle} enters {@code STOPPED}; {@link Server#awaitStopped} ends the loop and returns the exit code.
 * </ol>
 *
 * <p>A second SIGTERM changes nothing; a second SIGINT ({@link #answerImmediately}) ends the grace and rejects what has
 * not started. All methods are called on the loop's thread.
 */
final class ShutdownSequence {
    private final ServerConfig config;
    private final ServerComponents components;
    private final Lifecycle lifecycle;
    /** When the first drain signal came, in Unix microseconds; 0 before that. */
    private long signalledAtMicros;

    ShutdownSequence(ServerConfig config, ServerComponents components, Lifecycle lifecycle) {
        this.config = config;
        this.components = components;
        this.lifecycle = lifecycle;
    }

    /** A drain signal came at this time; the first one counts. */
    void signalled(long atMicros) {
        if (signalledAtMicros == 0) {
            signalledAtMicros = atMicros;
        }
    }

    /** Begins the drain, also where it has no signal since the kernel was not ready in time. */
    void beginDrain() {
        signalled(components.eventLoop().clock().nowMicros());
        components.markerFiles().notReady();
        long graceMicros = config.site().settings().limits().drainGraceMicros();
        components
                .shutdown()
                .begin(signalledAtMicros, config.shutdownTimeoutMicros(), graceMicros, lifecycle.kernelWasReady());
        if (components.membership() != null) {
            components.membership().leave();
        }
        components.listeners().releaseInherited();
    }

    /** Ends the grace of a drain. */
    void answerImmediately() {
        components.shutdown().answerImmediately();
    }

    /** Closes everything; {@code closed} is given {@link Event#CLOSED} once the last connection is closed. */
    void close(Consumer<Event> closed) {
        components.shutdown().logReport();
        components.counterReporter().logCounters();
        closePeers();
        components.kernel().close();
        components.records().close();
        components.announceClient().close();
        components.shutdown().close(components.listeners().controlListener(), () -> closed.accept(Event.CLOSED));
    }

    /** Closes what a start has opened before an address could not be bound. */
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

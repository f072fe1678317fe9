package wheatspread.daemon;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import wheatspread.config.OperatorConfig;
import wheatspread.config.ServerConfig;
import wheatspread.core.Clock;
import wheatspread.core.RequestCounters;
import wheatspread.lifecycle.Lifecycle;
import wheatspread.lifecycle.Lifecycle.Event;
import wheatspread.lifecycle.Lifecycle.Phase;
import wheatspread.logging.EventLog;
import wheatspread.transport.EventLoopScheduler;

/**
 * One server process, from its start to its exit. {@link ServerFactory} creates its components; this class moves them
 * through the phases of {@link Lifecycle}. {@link ShutdownSequence} describes the effects of SIGTERM, and
 * {@link ConfigReloader} those of SIGHUP.
 *
 * <p>The main thread calls {@link #lock}, {@link #warmUp}, {@link #start} and {@link #awaitStopped} in this order; the
 * first two calls are optional. Signal handler threads may call {@link #signal} and {@link #reload} at any time. The
 * phase changes only on the event loop's thread.
 */
public final class Server {
    /** EX_SOFTWARE of sysexits.h: the exit code if the event loop has terminated unexpectedly. */
    public static final int EXIT_EVENT_LOOP_ENDED = 70;

    private static final long MICROS_PER_MILLI = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ServerConfig config;
    private final OperatorConfig operator;
    private final EventLog log;
    private final Lifecycle lifecycle = new Lifecycle(this::phaseEntered);
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final ServerComponents components;
    private final ServerEventLoop eventLoop;
    private final ShutdownSequence shutdown;

    /** Creates a server that does not listen yet; {@code newClock} creates the clock of its event loop. */
    public Server(
            ServerConfig config,
            OperatorConfig operator,
            BiFunction<EventLoop, EventLoopScheduler, Clock> newClock,
            EventLog log) {
        this.config = config;
        this.operator = operator;
        this.log = log;
        components = new ServerFactory(config, operator, newClock, lifecycle, this::handle, log).create();
        eventLoop = components.eventLoop();
        eventLoop.onTermination(stopped::countDown); // otherwise the process would neither serve nor exit
        shutdown = new ShutdownSequence(config, components, lifecycle);
    }

    // ---- called by the main thread ----

    /**
     * Takes the lock file, if one is configured; only one process can hold the lock. {@code mark} is written into the
     * file.
     *
     * @throws ProcessMarkerFiles.LockTakenException if another process holds the lock
     */
    public void lock(String mark) throws IOException, ProcessMarkerFiles.LockTakenException {
        components.markerFiles().lock(config.name(), mark);
    }

    /** Warms up the JVM before any client can connect. A drain signal ends the warm-up. */
    public void warmUp() {
        begin();
        if (!lifecycle.isStopping()) {
            long startNanos = System.nanoTime();
            int served = new WarmUp(config.site()).serveRequests(WarmUp.MAX_DURATION_NANOS, lifecycle::isStopping);
            log.info("warm_up_done", "requests", served, "took_ms", (System.nanoTime() - startNanos) / NANOS_PER_MILLI);
        }
    }

    /**
     * Binds the listeners. Returns whether the server listens; false if a drain signal was received before.
     *
     * @throws IllegalStateException if an address cannot be bound; the listeners that were bound are closed first
     */
    public boolean start() {
        begin();
        eventLoop.runAndWait(() -> handle(Event.WARMED_UP));
        if (lifecycle.isStopping()) {
            return false;
        }
        try {
            components.listeners().bind(config.control());
            if (components.membership() != null) {
                components.membership().open(config.inheritedDescriptor() >= 0);
            }
        } catch (RuntimeException e) {
            eventLoop.runAndWait(() -> {
                shutdown.closeAfterFailedBind();
                handle(Event.BIND_FAILED);
            });
            throw e;
        }
        log.info(
                "listening",
                "addresses",
                boundAddresses(),
                "inherited_fd",
                config.inheritedDescriptor(),
                "control",
                config.control() == null ? "none" : config.control());
        eventLoop.runAndWait(() -> handle(Event.BOUND));
        return true;
    }

    /** Leaves the phase {@code NEW}; does nothing in any other phase. */
    private void begin() {
        eventLoop.runAndWait(() -> {
            if (lifecycle.phase() == Phase.NEW) {
                handle(Event.START);
            }
        });
    }

    /**
     * Waits until the process may exit, and returns its exit code, which is {@link #EXIT_EVENT_LOOP_ENDED} if the event
     * loop has terminated unexpectedly.
     */
    public int awaitStopped() throws InterruptedException {
        stopped.await();
        components.markerFiles().close();
        eventLoop.close();
        return lifecycle.phase() == Phase.STOPPED ? lifecycle.exitCode() : EXIT_EVENT_LOOP_ENDED;
    }

    // ---- called by any thread ----

    /** Returns the address of the operators' endpoint; null if there is none, or before it is bound. */
    public InetSocketAddress controlAddress() {
        return components.listeners().controlAddress();
    }

    /** Returns the bound addresses: that of the uwsgi front, if it is on, and then that of the platform's front. */
    public List<InetSocketAddress> boundAddresses() {
        return components.listeners().boundAddresses();
    }

    /** Returns the current phase. Thread-safe. */
    public Phase phase() {
        return lifecycle.phase();
    }

    /**
     * Applies a new configuration to the running server (SIGHUP). {@code reader} reads and validates it on the calling
     * thread. Returns after the configuration has been applied or rejected.
     */
    public void reload(Supplier<ServerConfig> reader) {
        components.reloader().reload(reader);
    }

    /** Drains the server (SIGTERM). Further calls have no effect. */
    public void drain() {
        signal(Event.DRAIN);
    }

    /**
     * Handles a signal: {@link Event#DRAIN} starts the drain, {@link Event#DRAIN_IMMEDIATELY} ends the grace
     * period of the drain.
     */
    public void signal(Event signal) {
        long signalledAtMicros = eventLoop.clock().nowMicros();
        eventLoop.execute(() -> {
            shutdown.recordSignalTime(signalledAtMicros);
            handle(signal);
        });
    }

    /** Terminates the event loop immediately, without a drain; used after a failed start and by tests. */
    void kill() {
        eventLoop.kill();
    }

    /** Returns the request counters since the start of the process. */
    RequestCounters requestCounters() {
        return components.core().counters();
    }

    // ---- called by the event loop's thread ----

    private void handle(Event event) {
        boolean drainSignal = event == Event.DRAIN || event == Event.DRAIN_IMMEDIATELY;
        if (!lifecycle.handle(event) && drainSignal) {
            log.info(
                    "drain_signal_repeated",
                    "phase",
                    lifecycle.phase().storedName(),
                    "hurry",
                    event == Event.DRAIN_IMMEDIATELY);
        }
        if (event == Event.DRAIN_IMMEDIATELY) {
            shutdown.answerImmediately();
        }
    }

    private void phaseEntered(Phase from, Phase to, Event cause) {
        log.info("phase", "from", from.storedName(), "to", to.storedName(), "by", cause.storedName());
        switch (to) {
            case BINDING -> components.kernel().open();
            case AWAITING_KERNEL -> {
                awaitKernel();
                components.counterReporter().scheduleNext();
            }
            case SERVING -> {
                if (from == Phase.BINDING) {
                    components.counterReporter().scheduleNext();
                }
                beginService();
            }
            case DRAINING -> shutdown.beginDrain();
            case CLOSING -> shutdown.close(this::handle);
            case STOPPED -> stopped.countDown();
            default -> {}
        }
    }

    private void awaitKernel() {
        new KernelReadiness(
                        eventLoop.clock(),
                        operator.life().kernelTimeoutMicros(),
                        config.kernel(),
                        lifecycle,
                        () -> handle(Event.KERNEL_TIMED_OUT),
                        log)
                .scheduleCheck();
    }

    private void beginService() {
        components.listeners().acceptInherited();
        long readyAtMillis = eventLoop.clock().nowMicros() / MICROS_PER_MILLI;
        components.markerFiles().writeReadyFile(config.name(), boundAddresses(), readyAtMillis);
    }
}

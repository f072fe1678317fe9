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
 * One server process, from its start to its exit. {@link ServerFactory} creates its parts; this class takes them
 * through the phases of {@link Lifecycle}. {@link ShutdownSequence} describes what SIGTERM leads to, and
 * {@link ConfigReloader} what SIGHUP changes.
 *
 * <p>The caller's thread makes, in this order, the calls {@link #lock}, {@link #warmUp}, {@link #start} and
 * {@link #awaitStopped}, of which the first two may be left out. The threads of signals call {@link #signal} and
 * {@link #reload} at any time. The phase changes on the loop's thread only.
 */
public final class Server {
    /** EX_SOFTWARE of sysexits.h: the exit code where the event loop has died. */
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

    /** Creates a server that does not listen yet; {@code newClock} makes the clock of its loop. */
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
        eventLoop.whenEnded(stopped::countDown); // without its loop a server would neither serve nor exit
        shutdown = new ShutdownSequence(config, components, lifecycle);
    }

    // ---- the caller's thread ----

    /**
     * Takes the operator's lock file, if there is one; only one process of this name may hold it. {@code mark} is
     * written into it.
     */
    public void lock(String mark) throws IOException, ProcessMarkerFiles.LockTakenException {
        components.markerFiles().lock(config.name(), mark);
    }

    /** Warms up the JVM before any caller can connect. A drain signal ends it. */
    public void warmUp() {
        begin();
        if (!lifecycle.isStopping()) {
            long startNanos = System.nanoTime();
            int served = new WarmUp(config.site()).play(WarmUp.MAX_DURATION_NANOS, lifecycle::isStopping);
            log.info("warm_up_done", "requests", served, "took_ms", (System.nanoTime() - startNanos) / NANOS_PER_MILLI);
        }
    }

    /**
     * Binds the listeners. An address that cannot be bound is thrown, after all that was bound is closed. Returns
     * whether the server listens; it does not if a drain signal came first.
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

    /** Begins the start, unless it has begun or a drain signal came before it. */
    private void begin() {
        eventLoop.runAndWait(() -> {
            if (lifecycle.phase() == Phase.NEW) {
                handle(Event.START);
            }
        });
    }

    /**
     * Waits until the process may exit, and returns its exit code: {@link #EXIT_EVENT_LOOP_ENDED} where its event
     * loop has
     * died.
     */
    public int awaitStopped() throws InterruptedException {
        stopped.await();
        components.markerFiles().close();
        eventLoop.close();
        return lifecycle.phase() == Phase.STOPPED ? lifecycle.exitCode() : EXIT_EVENT_LOOP_ENDED;
    }

    // ---- any thread ----

    /** The address of the operators' endpoint; null where there is none, and before it is bound. */
    public InetSocketAddress controlAddress() {
        return components.listeners().controlAddress();
    }

    /** The addresses that were bound: that of the uwsgi front first, where it is on, then the platform's. */
    public List<InetSocketAddress> boundAddresses() {
        return components.listeners().boundAddresses();
    }

    /** Any thread may call. */
    public Phase phase() {
        return lifecycle.phase();
    }

    /**
     * SIGHUP: applies a new configuration while the server runs on. {@code reader} reads and checks it on the calling
     * thread. Returns when it is applied or rejected.
     */
    public void reload(Supplier<ServerConfig> reader) {
        components.reloader().reload(reader);
    }

    /** SIGTERM: drains the server. A second call changes nothing. */
    public void drain() {
        signal(Event.DRAIN);
    }

    /** A signal: {@link Event#DRAIN} drains the server, {@link Event#DRAIN_IMMEDIATELY} ends the grace of its drain. */
    public void signal(Event signal) {
        long signalledAtMicros = eventLoop.clock().nowMicros();
        eventLoop.execute(() -> {
            shutdown.signalled(signalledAtMicros);
            handle(signal);
        });
    }

    /** Ends the loop at once, with whatever is open; for a start that failed and for tests. */
    void kill() {
        eventLoop.kill();
    }

    /** The counters of requests so far. */
    RequestCounters counts() {
        return components.core().counters();
    }

    // ---- the loop's thread ----

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

    private void phaseEntered(Phase from, Phase to, Event by) {
        log.info("phase", "from", from.storedName(), "to", to.storedName(), "by", by.storedName());
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
        components.markerFiles().ready(config.name(), boundAddresses(), readyAtMillis);
    }
}

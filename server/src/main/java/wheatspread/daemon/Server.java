package wheatspread.daemon;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import wheatspread.admission.sfq.SfqAdmissionController;
import wheatspread.announce.AnnounceClient;
import wheatspread.config.Configuration;
import wheatspread.config.OperatorConfig;
import wheatspread.config.ServerConfig;
import wheatspread.control.ControlFront;
import wheatspread.control.MetricsPage;
import wheatspread.core.Clock;
import wheatspread.core.Core;
import wheatspread.core.RequestCounters;
import wheatspread.handover.SharedIdempotencyClaims;
import wheatspread.jsonrpc.RpcFront;
import wheatspread.kernel.KernelLink;
import wheatspread.lifecycle.Lifecycle;
import wheatspread.lifecycle.Lifecycle.Event;
import wheatspread.lifecycle.Lifecycle.Phase;
import wheatspread.logging.EventLog;
import wheatspread.records.RecordsClient;
import wheatspread.transport.EventLoopScheduler;
import wheatspread.transport.Listener;
import wheatspread.transport.Transport;
import wheatspread.uwsgi.UwsgiFront;

/**
 * One server process: wires core, links and fronts to one event loop, and leads it from start to exit by what
 * {@link Lifecycle} and {@link Drain} say.
 */
public final class Server {
    /** EX_SOFTWARE of sysexits.h. */
    public static final int LOOP_ENDED = 70;

    /** How often a thread that waits for the loop looks whether it has ended; ms. */
    private static final long LOOP_LOOK_MS = 500;

    private final ServerConfig config;
    private final EventLog log;
    private final OperatorConfig operator;
    private final EventLoopScheduler turns;
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final Clock clock;
    private final KernelLink kernel;
    private final RecordsClient records;
    private final AnnounceClient announcer;
    private final Core core;
    private final FrontListeners fronts;
    /** This server among its peers; null where the operator's file does not ask for that. */
    private final MembershipService fleet;

    private final ConfigReloader reloads;
    private final ReloadApplier takeOver;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final Lifecycle life = new Lifecycle(this::entered);
    private final ProcessMarkerFiles marks;
    private final GracefulShutdown shutdown;
    private final CounterReporter reports;
    /** When the notice to leave was heard, in Unix microseconds; the loop may come to it later. */
    private long noticeAt;

    /** {@code newClock} makes the clock of the loop. */
    public Server(
            ServerConfig config,
            OperatorConfig operator,
            BiFunction<EventLoop, EventLoopScheduler, Clock> newClock,
            EventLog log) {
        this.config = config;
        this.operator = operator;
        this.log = log;
        Transport transport = Transport.named(operator.transport());
        turns = new EventLoopScheduler(transport, operator.turns(), config.seed(), log);
        group = new MultiThreadIoEventLoopGroup(1, turns);
        loop = group.next();
        // without its loop a server reads and answers nothing, and nobody would learn of it
        group.terminationFuture().addListener(ended -> stopped.countDown());
        clock = newClock.apply(loop, turns);
        turns.usedBy(clock::nowMicros);
        Bootstrap clients =
                new Bootstrap().group(loop).channel(transport.clientChannel()).option(ChannelOption.TCP_NODELAY, true);
        int calls = Configuration.recordsConnections(config.sockets());
        records = new RecordsClient(clients, config.records(), calls, clock, log);
        announcer = new AnnounceClient(clients, config.announce(), config.name(), log);
        core = new Core(
                config.site(),
                settings -> new SfqAdmissionController(settings, config.seed()),
                clock,
                records,
                this::announce,
                log);
        kernel = new KernelLink(clients, config.kernel(), core, log);
        core.attach(kernel);
        if (config.shared() != null) {
            try {
                core.shareKeysWith(new SharedIdempotencyClaims(
                        config.shared().resolve(config.name()),
                        ProcessHandle.current().pid(),
                        log));
            } catch (IOException e) {
                log.warn("claims_failed", "folder", config.shared(), "error", e.toString());
            }
        }
        core.whenUp(() -> on(Event.KERNEL_UP));
        marks = new ProcessMarkerFiles(operator.life(), log);
        reloads = new ConfigReloader(config, next -> onLoop(() -> takeOver(next)), log);
        int sockets = Configuration.platformConnections(config, operator);
        UwsgiFront uwsgi =
                operator.uwsgi() == null ? null : new UwsgiFront(core, clock, operator.uwsgi(), config.seed());
        Map<Listener, InetSocketAddress> addresses = new LinkedHashMap<>(); // in the order in which they are bound
        if (uwsgi != null) {
            addresses.put(
                    new Listener(loop, turns, clock, uwsgi, operator.uwsgiLimits(), log),
                    operator.uwsgi().listen());
        }
        RpcFront platform = new RpcFront(core, clock);
        takeOver = new ReloadApplier(config, core, kernel, records, announcer, platform, uwsgi, log);
        if (operator.stats()) {
            platform.tellStats(() -> life.phase().storedName());
        }
        Listener platformFront = new Listener(
                loop, turns, clock, platform, operator.connections().with(sockets), log);
        addresses.put(platformFront, config.listen());
        fleet = operator.membership() == null
                ? null
                : new MembershipService(operator.membership(), config.name(), transport, loop, clock, log);
        Listener door = config.control() == null
                ? null
                : new Listener(
                        loop,
                        turns,
                        clock,
                        new ControlFront(
                                () -> life.phase() == Phase.SERVING, this::vars, fleet == null ? null : fleet::answer),
                        ControlFront.limits(),
                        log);
        fronts = new FrontListeners(addresses, platformFront, config.inherited(), door);
        shutdown = new GracefulShutdown(
                core,
                fronts.listeners(),
                clock,
                marks,
                log,
                () -> !turns.order().isEmpty(),
                this::on);
        reports = new CounterReporter(
                core,
                addresses,
                turns,
                clock,
                operator.reportSeconds(),
                () -> life.phase().compareTo(Phase.CLOSING) < 0,
                log);
        core.closeIdleWith(fronts::closeIdle);
    }

    /**
     * Reports whether this process takes work. Where the socket was handed over, a notice to leave is an
     * upgrade: the new process reports for the same name, and a 'false' of the old one would take the name
     * off the list for both, so the old one falls silent instead.
     */
    private void announce(boolean accepting) {
        if (config.inherited() >= 0 && life.leaving()) {
            announcer.close();
        } else {
            announcer.announce(accepting);
        }
    }

    /** The figures of the operators' door; on the loop's thread. */
    private String vars() {
        String own = MetricsPage.text(
                core.counts(), core.site().classes(), core.open(), reloads.takenSoFar(), reloads.refusedSoFar());
        return fleet == null ? own : own + fleet.vars();
    }

    /** Something happened to the process; on the loop's thread only. */
    private void on(Event event) {
        if (!life.on(event) && (event == Event.NOTICE || event == Event.HURRY)) {
            log.info("notice_again", "phase", life.phase().storedName(), "hurry", event == Event.HURRY);
        }
        if (event == Event.HURRY) {
            shutdown.hurry();
        }
    }

    private void entered(Phase from, Phase to, Event by) {
        log.info("phase", "from", from.storedName(), "to", to.storedName(), "by", by.storedName());
        switch (to) {
            case BINDING -> kernel.open();
            case WAITING -> {
                new KernelReadiness(
                                clock,
                                operator.life().kernelWait(),
                                config.kernel(),
                                life,
                                () -> on(Event.KERNEL_GIVEN_UP),
                                log)
                        .begin();
                reports.begin();
            }
            case SERVING -> {
                if (from == Phase.BINDING) {
                    reports.begin();
                }
                fronts.acceptHeld();
                marks.ready(config.name(), fronts.bound(), clock.nowMicros() / 1000);
            }
            case DRAINING -> {
                noticeAt = noticeAt == 0 ? clock.nowMicros() : noticeAt; // a kernel that was given up on sends none
                beginDrain();
            }
            case CLOSING -> close();
            case STOPPED -> stopped.countDown();
            default -> {}
        }
    }

    /** Takes the operator's lock; only one process of this name may go on. {@code mark} stands in it. */
    public void lock(String mark) throws IOException, ProcessMarkerFiles.Taken {
        marks.lock(config.name(), mark);
    }

    /** Tells the loop's thread and waits for it. */
    private void ask(Event event) {
        onLoop(() -> on(event));
    }

    /** The start begins, unless it has begun or a notice to leave came before it. */
    private void begin() {
        onLoop(() -> {
            if (life.phase() == Phase.NEW) {
                on(Event.START);
            }
        });
    }

    /** Warms the JVM before anybody can ask; a notice to leave ends it. */
    public void warmUp() {
        begin();
        if (!life.leaving()) {
            long began = System.nanoTime();
            int played = new WarmUp(config.site()).play(WarmUp.LONGEST_NS, life::leaving);
            log.info("rehearsed", "requests", played, "took_ms", (System.nanoTime() - began) / 1_000_000);
        }
    }

    /**
     * Binds the listeners; what cannot be bound is thrown, after all that was bound is closed. Returns
     * whether the server listens: a notice to leave may have come first.
     */
    public boolean start() {
        begin();
        ask(Event.REHEARSED);
        if (life.leaving()) {
            return false;
        }
        try {
            fronts.bind(config.control());
            if (fleet != null) {
                fleet.open(config.inherited() >= 0);
            }
        } catch (RuntimeException e) {
            onLoop(this::bindFailed);
            throw e;
        }
        log.info(
                "listening",
                "addresses",
                fronts.bound(),
                "inherited_fd",
                config.inherited(),
                "control",
                config.control() == null ? "none" : config.control());
        ask(Event.BOUND);
        return true;
    }

    private void bindFailed() {
        fronts.close();
        if (fleet != null) {
            fleet.close();
        }
        kernel.close();
        on(Event.BIND_FAILED);
    }

    /** Where the operators' door listens; null where it does not. */
    public InetSocketAddress doorAddress() {
        return fronts.doorAddress();
    }

    /** The addresses that were bound: the uwsgi front's first where it is on, then the platform's. */
    public List<InetSocketAddress> bound() {
        return fronts.bound();
    }

    /**
     * Takes over the addresses and the classes of a new configuration while everything goes on; any thread
     * may call, and returns when that is done. {@code reader} reads and checks it.
     */
    public void reload(Supplier<ServerConfig> reader) {
        reloads.read(reader);
    }

    /** Runs a task on the loop's thread and waits for it; what it throws, and a loop that has ended, is thrown. */
    private void onLoop(Runnable task) {
        if (loop.inEventLoop()) {
            task.run();
            return;
        }
        Future<?> done = loop.submit(task);
        while (!done.awaitUninterruptibly(LOOP_LOOK_MS)) {
            if (loop.isTerminated()) {
                throw new IllegalStateException("the event loop has ended");
            }
        }
        done.syncUninterruptibly();
    }

    /** On the loop's thread. */
    private void takeOver(ServerConfig next) {
        on(Event.RELOAD);
        if (life.phase().compareTo(Phase.CLOSING) >= 0) {
            throw new IllegalStateException("this process is leaving");
        }
        takeOver.of(next);
        reloads.taken();
    }

    /** The notice to leave; a second one changes nothing. */
    public void drain() {
        notice(Event.NOTICE);
    }

    /** The notice to leave, or a second one that asks not to wait; any thread may call. */
    public void notice(Event event) {
        long heardAt = clock.nowMicros();
        loop.execute(() -> {
            noticeAt = noticeAt == 0 ? heardAt : noticeAt;
            on(event);
        });
    }

    /** Where the process stands; any thread may ask. */
    public Phase phase() {
        return life.phase();
    }

    private void beginDrain() {
        marks.notReady();
        shutdown.begin(
                noticeAt, config.stopMicros(), config.site().settings().limits().drainGraceMicros(), life.kernelUp());
        if (fleet != null) {
            fleet.leave();
        }
        fronts.releaseHeld();
    }

    private void close() {
        shutdown.tell();
        reports.tell();
        if (fleet != null) {
            fleet.close();
        }
        kernel.close();
        records.close();
        announcer.close();
        shutdown.close(fronts.door(), () -> on(Event.CLOSED));
    }

    /** What became of the tries so far. */
    RequestCounters counts() {
        return core.counts();
    }

    /** Ends at once, with whatever is open; for a start that failed and for tests. */
    void kill() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /**
     * Waits until the process may end, and returns what it is to exit with: {@link #LOOP_ENDED} where its
     * event loop has died.
     */
    public int awaitStopped() throws InterruptedException {
        stopped.await();
        marks.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        return life.phase() == Phase.STOPPED ? life.exitCode() : LOOP_ENDED;
    }
}

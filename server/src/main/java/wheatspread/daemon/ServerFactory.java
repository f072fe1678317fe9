package wheatspread.daemon;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import wheatspread.admission.sfq.SfqAdmissionController;
import wheatspread.announce.AnnounceClient;
import wheatspread.config.Configuration;
import wheatspread.config.OperatorConfig;
import wheatspread.config.ServerConfig;
import wheatspread.control.ControlFront;
import wheatspread.control.MetricsPage;
import wheatspread.core.Clock;
import wheatspread.core.Core;
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
import wheatspread.uwsgi.UwsgiFront;

/**
 * Creates the components of a server and connects them to each other. The factory starts the event loop's thread, but
 * opens no file, listener or connection. Optional components that are not configured are not created.
 */
final class ServerFactory {
    private final ServerConfig config;
    private final OperatorConfig operator;
    private final long seed;
    private final Lifecycle lifecycle;
    private final Consumer<Event> events;
    private final EventLog log;
    private final ServerEventLoop eventLoop;
    private final Clock clock;

    /**
     * Creates the event loop of the server.
     *
     * @param newClock creates the clock of the event loop
     * @param events receives, on the event loop's thread, the events {@code KERNEL_READY} and {@code RELOAD} and the
     *     events that end a drain
     */
    ServerFactory(
            ServerConfig config,
            OperatorConfig operator,
            BiFunction<EventLoop, EventLoopScheduler, Clock> newClock,
            Lifecycle lifecycle,
            Consumer<Event> events,
            EventLog log) {
        this.config = config;
        this.operator = operator;
        seed = seedOf(config);
        this.lifecycle = lifecycle;
        this.events = events;
        this.log = log;
        eventLoop = new ServerEventLoop(operator, seed, newClock, log);
        clock = eventLoop.clock();
    }

    /** Returns the configured seed; a random one if there is none, so that processes with the same file differ. */
    static long seedOf(ServerConfig config) {
        return config.seed().orElseGet(() -> ProcessIdentity.random().number());
    }

    ServerComponents create() {
        Bootstrap clients = eventLoop.clientBootstrap();
        int recordsConnections = Configuration.maxRecordsConnections(config.maxSockets());
        RecordsClient records = new RecordsClient(clients, config.records(), recordsConnections, clock, log);
        AnnounceClient announceClient = new AnnounceClient(clients, config.announce(), config.name(), log);
        Core core = createCore(records, announceClient);
        KernelLink kernel = new KernelLink(clients, config.kernel(), core, log);
        core.attachKernel(kernel);
        shareIdempotencyClaims(core);
        core.setFirstBootHandler(() -> events.accept(Event.KERNEL_READY));

        RpcFront platform = createPlatformFront(core);
        UwsgiFront uwsgi = createUwsgiFront(core);
        ReloadApplier applier = new ReloadApplier(config, core, kernel, records, announceClient, platform, uwsgi, log);
        ConfigReloader reloader = createReloader(applier);
        MembershipService membership = createMembership();
        FrontListeners listeners = createListeners(platform, uwsgi, createControlListener(core, reloader, membership));
        ProcessMarkerFiles markerFiles = new ProcessMarkerFiles(operator.life(), log);
        core.setIdleConnectionCloser(listeners::closeIdle);
        return new ServerComponents(
                eventLoop,
                core,
                kernel,
                records,
                announceClient,
                listeners,
                membership,
                markerFiles,
                reloader,
                createShutdown(core, listeners, markerFiles),
                createCounterReporter(core, listeners));
    }

    private Core createCore(RecordsClient records, AnnounceClient announceClient) {
        AvailabilityAnnouncer announcer = new AvailabilityAnnouncer(config, lifecycle, announceClient);
        return new Core(
                config.site(),
                settings -> new SfqAdmissionController(settings, seed),
                clock,
                records,
                announcer::announce,
                log);
    }

    /**
     * Shares idempotency claims if a directory is configured. A failure is logged, and the claims are then not shared.
     */
    private void shareIdempotencyClaims(Core core) {
        if (config.sharedDirectory() == null) {
            return;
        }
        try {
            core.shareIdempotencyClaims(new SharedIdempotencyClaims(
                    config.sharedDirectory().resolve(config.name()),
                    ProcessIdentity.random().text(),
                    log));
        } catch (IOException e) {
            log.warn("idempotency_claims_failed", "folder", config.sharedDirectory(), "error", e.toString());
        }
    }

    private RpcFront createPlatformFront(Core core) {
        RpcFront platform = new RpcFront(core, clock);
        if (operator.stats()) {
            platform.enableStats(() -> lifecycle.phase().storedName());
        }
        return platform;
    }

    /** Creates the uwsgi front; null if it is not configured. */
    private UwsgiFront createUwsgiFront(Core core) {
        return operator.uwsgi() == null
                ? null
                : new UwsgiFront(
                        core, clock, operator.uwsgi(), ProcessIdentity.random().number());
    }

    private ConfigReloader createReloader(ReloadApplier applier) {
        return new ConfigReloader(
                config,
                next -> eventLoop.runAndWait(() -> {
                    events.accept(Event.RELOAD);
                    if (lifecycle.phase().compareTo(Phase.CLOSING) >= 0) {
                        throw new IllegalStateException("the process is closing; the configuration is not applied");
                    }
                    applier.apply(next);
                }),
                log);
    }

    private MembershipService createMembership() {
        return operator.membership() == null
                ? null
                : new MembershipService(
                        operator.membership(), config.name(), eventLoop.transport(), eventLoop.loop(), clock, log);
    }

    /** Creates the listener of the operators' endpoint; null if none is configured. {@code membership} may be null. */
    private Listener createControlListener(Core core, ConfigReloader reloader, MembershipService membership) {
        if (config.control() == null) {
            return null;
        }
        ControlFront control = new ControlFront(
                () -> lifecycle.phase() == Phase.SERVING,
                () -> metrics(core, reloader, membership),
                membership == null ? null : membership::answer);
        return new Listener(eventLoop.loop(), eventLoop.scheduler(), clock, control, ControlFront.limits(), log);
    }

    private static String metrics(Core core, ConfigReloader reloader, MembershipService membership) {
        String ownMetrics = MetricsPage.text(
                core.counters(),
                core.settings().classes(),
                core.unansweredCount(),
                reloader.appliedCount(),
                reloader.rejectedCount());
        return membership == null ? ownMetrics : ownMetrics + membership.metrics();
    }

    /** Creates the listeners; {@code uwsgi} and {@code controlListener} may be null. */
    private FrontListeners createListeners(RpcFront platform, UwsgiFront uwsgi, Listener controlListener) {
        EventLoop loop = eventLoop.loop();
        EventLoopScheduler scheduler = eventLoop.scheduler();
        Map<Listener, InetSocketAddress> addresses = new LinkedHashMap<>(); // in the order of binding
        if (uwsgi != null) {
            addresses.put(
                    new Listener(loop, scheduler, clock, uwsgi, operator.uwsgiLimits(), log),
                    operator.uwsgi().listen());
        }
        int platformConnections = Configuration.maxPlatformConnections(config, operator);
        Listener platformListener = new Listener(
                loop, scheduler, clock, platform, operator.connections().withMaxConnections(platformConnections), log);
        addresses.put(platformListener, config.listen());
        return new FrontListeners(addresses, platformListener, config.inheritedDescriptor(), controlListener);
    }

    private GracefulShutdown createShutdown(Core core, FrontListeners listeners, ProcessMarkerFiles markerFiles) {
        EventLoopScheduler scheduler = eventLoop.scheduler();
        return new GracefulShutdown(
                core,
                listeners.listeners(),
                clock,
                markerFiles,
                log,
                scheduler::hasWaitingReads,
                scheduler::runAfterNextPoll,
                events);
    }

    private CounterReporter createCounterReporter(Core core, FrontListeners listeners) {
        return new CounterReporter(
                core,
                listeners.addresses(),
                eventLoop.scheduler(),
                clock,
                operator.reportSeconds(),
                () -> lifecycle.phase().compareTo(Phase.CLOSING) < 0,
                log);
    }
}

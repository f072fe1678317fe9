package wheatspread.daemon;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Supplier;
import wheatspread.admission.Choice;
import wheatspread.announce.AnnounceClient;
import wheatspread.config.Fields;
import wheatspread.config.OperatorConfig;
import wheatspread.config.ServerConfig;
import wheatspread.connections.Connection.State;
import wheatspread.connections.ConnectionTable;
import wheatspread.core.Clock;
import wheatspread.core.Core;
import wheatspread.core.Counts;
import wheatspread.jsonrpc.RpcFront;
import wheatspread.kernel.KernelLink;
import wheatspread.records.RecordsClient;
import wheatspread.sockets.Listener;
import wheatspread.sockets.Transport;
import wheatspread.sockets.Turns;
import wheatspread.uwsgi.UwsgiFront;

/** One server process: wires core, links and fronts to one event loop, and leads it from start to exit. */
public final class Server {
    /** The phases of the process, in order. */
    public enum Phase { NEW, STARTING, SERVING, DRAINING, CLOSING, STOPPED }

    /** Descriptors for kernel, announce, listeners, the JVM's own files and callers about to be closed. */
    private static final int OWN_SOCKETS = 32;
    /** Connections to the records service, as a share of all descriptors and at most. */
    private static final int RECORDS_PART = 8;
    private static final int RECORDS_MOST = 40;
    /** The process ends this long before it would be killed. */
    private static final long STOP_MARGIN_US = 120_000;
    /** What was accepted just before the listener closed gets this long to be read; us. */
    private static final long LISTENER_GONE = 150_000;
    private static final long DRAIN_LOOK = 25_000;

    private final ServerConfig config;
    private final Consumer<String> log;
    private final OperatorConfig operator;
    private final Turns turns;
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final Clock clock;
    private final KernelLink kernel;
    private final RecordsClient records;
    private final AnnounceClient announcer;
    private final Core core;
    /** The fronts with the addresses they listen on, in the order in which they are bound. */
    private final Map<Listener, InetSocketAddress> fronts = new LinkedHashMap<>();
    private final List<InetSocketAddress> bound = new ArrayList<>();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private volatile Phase phase = Phase.NEW;
    private long leaveBy;
    private long listenUntil;

    /** {@code newClock} makes the clock of the loop. */
    public Server(ServerConfig config, OperatorConfig operator, BiFunction<EventLoop, Turns, Clock> newClock,
                  Consumer<String> log) {
        this.config = config;
        this.operator = operator;
        this.log = log;
        Transport transport = Transport.named(operator.transport());
        turns = new Turns(transport, operator.turns(), config.seed(), log);
        group = new MultiThreadIoEventLoopGroup(1, turns);
        loop = group.next();
        // without its loop a server reads and answers nothing, and nobody would learn of it
        group.terminationFuture().addListener(ended -> stopped.countDown());
        clock = newClock.apply(loop, turns);
        turns.usedBy(clock::now);
        Bootstrap clients = new Bootstrap().group(loop).channel(transport.clientChannel());
        int calls = Math.min(RECORDS_MOST, config.sockets() / RECORDS_PART);
        records = new RecordsClient(clients, config.records(), calls, clock, log);
        announcer = new AnnounceClient(clients, config.announce(), config.name(), log);
        core = new Core(config.site(), settings -> new Choice(settings, config.seed()), clock, records,
            announcer, log);
        kernel = new KernelLink(clients, config.kernel(), core, log);
        core.attach(kernel);
        int sockets = config.sockets() - OWN_SOCKETS - calls;
        if (operator.mostConnections() > sockets) {
            throw new Fields.BadValue("connections.max is " + operator.mostConnections()
                + ", and limits.sockets"
                + " leaves " + sockets);
        }
        sockets = operator.mostConnections() > 0 ? operator.mostConnections() : sockets;
        if (operator.uwsgi() != null) {
            sockets -= operator.uwsgi().mostConnections();
            UwsgiFront second = new UwsgiFront(core, clock, operator.uwsgi(), config.seed());
            fronts.put(new Listener(loop, turns, clock, second, operator.uwsgiLimits(), log),
                operator.uwsgi().listen());
        }
        if (sockets < 1) {
            throw new Fields.BadValue("uwsgi.max_connections leaves no sockets to the platform's front");
        }
        fronts.put(new Listener(loop, turns, clock, new RpcFront(core, clock),
            operator.connections().with(sockets), log), config.listen());
        core.closeIdleWith(after -> fronts.keySet().forEach(front -> front.closeIdle(after)));
    }

    private void enter(Phase next) {
        phase = next;
        log.accept("phase " + next);
    }

    /** Binds the listeners; what cannot be bound is thrown. */
    public void start() {
        loop.execute(() -> {
            enter(Phase.STARTING);
            kernel.open();
        });
        fronts.forEach((front, address) -> bound.add(front.listen(address)));
        log.accept("listening on " + bound);
        loop.execute(() -> {
            enter(Phase.SERVING);
            if (operator.reportSeconds() > 0) {
                clock.after(operator.reportSeconds() * 1_000_000L, this::reportAgain);
            }
        });
    }

    /** The addresses that were bound: the uwsgi front's first where it is on, then the platform's. */
    public List<InetSocketAddress> bound() {
        return List.copyOf(bound);
    }

    /**
     * Takes over the addresses of a new configuration while everything goes on. It is read and checked whole
     * before anything changes; what is wrong with it is logged, and the old one stays. One at a time, or an
     * older file might be taken over behind a newer one.
     */
    public synchronized void reload(Supplier<ServerConfig> reader) {
        try {
            ServerConfig next = reader.get();
            loop.execute(() -> {
                if (phase.compareTo(Phase.CLOSING) >= 0) {
                    return;
                }
                log.accept("reload: kernel " + next.kernel() + ", records " + next.records() + ", announce "
                    + next.announce());
                if (!next.withAddressesOf(config).equals(config)) {
                    log.accept("reload: what else changed holds from the next start on");
                }
                kernel.moveTo(next.kernel());
                records.moveTo(next.records());
                announcer.moveTo(next.announce());
            });
        } catch (IllegalArgumentException e) {
            log.accept("reload: the old configuration stays: " + e.getMessage());
        }
    }

    /** What came of the limits so far. */
    private void report() {
        log.accept(core.counts().toString());
        fronts.forEach((front, address) -> {
            ConnectionTable table = front.table();
            log.accept("connections " + address + ": now " + table.size() + ", resting "
                + table.sizeOf(State.RESTING) + ", " + table.counters());
        });
        log.accept("turns: " + turns.times() + ", exhausted " + turns.order().exhausted() + ", sleepers "
            + turns.order().sleepers() + ", timers " + turns.wheel().size() + ", " + turns.gate());
    }

    private void reportAgain() {
        if (phase.compareTo(Phase.CLOSING) < 0) {
            report();
            clock.after(operator.reportSeconds() * 1_000_000L, this::reportAgain);
        }
    }

    /** The notice to leave. */
    public void drain() {
        loop.execute(() -> {
            if (phase.compareTo(Phase.DRAINING) >= 0) {
                return;
            }
            enter(Phase.DRAINING);
            long grace = config.site().settings().limits().drainGrace();
            leaveBy = clock.now() + config.stopMicros() - STOP_MARGIN_US;
            listenUntil = Math.min(clock.now() + grace, leaveBy - 2 * STOP_MARGIN_US);
            core.drain(config.stopMicros());
            fronts.keySet().forEach(Listener::lastCall);
            look();
        });
    }

    /** Looks whether all is answered; new tries come until the listener is closed, so none is left before. */
    private void look() {
        boolean listening = clock.now() < listenUntil;
        if (!listening) {
            fronts.keySet().forEach(Listener::stopListening);
        }
        boolean quiet = clock.now() >= listenUntil + LISTENER_GONE && core.open() == 0;
        if (clock.now() >= leaveBy || quiet) {
            close();
        } else {
            clock.after(DRAIN_LOOK, this::look);
        }
    }

    private void close() {
        enter(Phase.CLOSING);
        report();
        fronts.keySet().forEach(Listener::close);
        kernel.close();
        records.close();
        announcer.close();
        loop.execute(() -> {
            enter(Phase.STOPPED);
            stopped.countDown();
        });
    }

    /** What became of the tries so far. */
    Counts counts() {
        return core.counts();
    }

    /** Ends at once, with whatever is open; for a start that failed and for tests. */
    void kill() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /**
     * Waits until the process may end, and returns whether it left in order: its event loop may have died.
     */
    public boolean awaitStopped() throws InterruptedException {
        stopped.await();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        return phase == Phase.STOPPED;
    }
}

package wheatspread.daemon;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import wheatspread.admission.Choice;
import wheatspread.announce.AnnounceClient;
import wheatspread.config.ServerConfig;
import wheatspread.core.Core;
import wheatspread.jsonrpc.RpcFront;
import wheatspread.kernel.KernelLink;
import wheatspread.records.RecordsClient;

/** One server process: wires core, links and fronts to one event loop, and leads it from start to exit. */
public final class Server {
    /** The phases of the process, in order. */
    public enum Phase { NEW, STARTING, SERVING, DRAINING, CLOSING, STOPPED }

    /** Descriptors kept from callers: for kernel, records, announce, listeners and the JVM's own files. */
    private static final int OWN_SOCKETS = 96;
    /** The process ends this long before it would be killed. */
    private static final long STOP_MARGIN_US = 120_000;
    private static final long DRAIN_LOOK_MS = 25;

    private final ServerConfig config;
    private final Consumer<String> log;
    private final MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final LoopClock clock = new LoopClock(loop);
    private final KernelLink kernel;
    private final RecordsClient records;
    private final AnnounceClient announcer;
    private final Core core;
    private final RpcFront front;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private Phase phase = Phase.NEW;
    private long leaveBy;
    private long listenUntil;

    public Server(ServerConfig config, Consumer<String> log) {
        this.config = config;
        this.log = log;
        records = new RecordsClient(loop, config.records(), clock, log);
        announcer = new AnnounceClient(loop, config.announce(), config.name(), log);
        core = new Core(config.site(), settings -> new Choice(settings, config.seed()), clock, records,
            announcer, log);
        kernel = new KernelLink(loop, config.kernel(), core, log);
        core.attach(kernel);
        front = new RpcFront(core, clock, config.sockets() - OWN_SOCKETS, log);
        core.closeIdleWith(front::closeIdle);
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
        front.listen(loop, config.listen()).syncUninterruptibly();
        loop.execute(() -> enter(Phase.SERVING));
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
            front.lastCall();
            look();
        });
    }

    /** Looks whether all is answered; new tries come until the listener is closed, so none is left before. */
    private void look() {
        boolean listening = clock.now() < listenUntil;
        if (!listening) {
            front.stopListening();
        }
        if (clock.now() >= leaveBy || !listening && core.open() == 0) {
            close();
        } else {
            loop.schedule(this::look, DRAIN_LOOK_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void close() {
        enter(Phase.CLOSING);
        log.accept(core.counts().toString());
        front.close();
        kernel.close();
        records.close();
        announcer.close();
        loop.execute(() -> {
            enter(Phase.STOPPED);
            stopped.countDown();
        });
    }

    public void awaitStopped() throws InterruptedException {
        stopped.await();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }
}

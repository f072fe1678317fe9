package wheatspread.lab.fleet;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import wheatspread.lab.Sites;
import wheatspread.lab.standins.Listening;
import wheatspread.lab.standins.RecordsHandler;

/**
 * Everybody round a fleet, on one loop: kernels, records, announce, proxies, and the ledger that books them.
 */
final class World implements AutoCloseable {
    private static final int PROXIES = 4;
    private static final int SUBJECTS = 24_000;
    private static final long CALL_MICROS = 160_000;
    private static final long TICK_MICROS = 1_000;

    private final MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Ledger ledger = new Ledger();
    private final Map<String, BookingKernel> kernels = new LinkedHashMap<>();
    private final Map<String, InetSocketAddress> kernelAt = new HashMap<>();
    private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    private final List<Callers> callers = new ArrayList<>();
    private final Random random = new Random(77);
    private final InetSocketAddress records;
    private final InetSocketAddress announce;
    private double perSecond;
    private long next;

    /** {@code servers}: the names, with the addresses on which each will listen. */
    World(Map<String, InetSocketAddress> servers) {
        addresses.putAll(servers);
        ServerList list = new ServerList(loop, ledger, PROXIES);
        for (String name : servers.keySet()) {
            BookingKernel kernel = new BookingKernel(name, ledger);
            kernels.put(name, kernel);
            kernelAt.put(name, Listening.on(group, () -> kernel.new Link(), true));
        }
        records = Listening.on(group, () -> new RecordsHandler(CALL_MICROS), false);
        announce = Listening.on(group, () -> list.new Reports(), true);
        for (int i = 0; i < PROXIES; i++) {
            callers.add(new Callers(i, i % 2 == 1, i != PROXIES - 1, loop, ledger, list, addresses));
        }
        loop.scheduleAtFixedRate(this::tick, 0, TICK_MICROS, TimeUnit.MICROSECONDS);
    }

    String kernel(String name) {
        return Listening.text(kernelAt.get(name));
    }

    String records() {
        return Listening.text(records);
    }

    String announce() {
        return Listening.text(announce);
    }

    /** On the loop's thread, on which everything here lives. */
    <T> T on(Callable<T> task) {
        return loop.submit(task).syncUninterruptibly().getNow();
    }

    /** Clients ask so often from now on, times drawn as a Poisson process; 0 ends it. */
    void ask(double rate) {
        on(() -> {
            if (perSecond == 0 && rate > 0) {
                next = System.nanoTime();
                ledger.begin(System.currentTimeMillis());
            }
            perSecond = rate;
            return null;
        });
    }

    private void tick() {
        while (perSecond > 0 && next <= System.nanoTime()) {
            Sites.Kind kind = Sites.kind(random);
            double mean = kind.keyed() ? 415 : 285;
            double work = mean * Math.exp(0.4 * random.nextGaussian() - 0.08);
            // a few subjects are far more popular than the rest; each save is one of its own
            String subject = kind.keyed() ? "plan-" + random.nextLong(1L << 40)
                : "dish-" + (int) (SUBJECTS * Math.pow(random.nextDouble(), 3));
            callers.get(random.nextInt(callers.size())).ask(kind, work, subject);
            next += (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
        }
    }

    /** A server was ended outright: what it had in hand is lost. */
    void killed(String name) {
        on(() -> {
            ledger.killed(name);
            return null;
        });
    }

    /** The second process of each server is of a build that dies by itself: what it has in hand is lost. */
    void expectSecondProcessesToDie() {
        on(() -> {
            ledger.excuse(name -> kernels.get(name).starts() == 2);
            return null;
        });
    }

    /** How many tries wait for their answers. */
    int open() {
        return on(() -> ledger.open(System.currentTimeMillis()));
    }

    /** What came of it; to be looked at when nothing more is asked. */
    Ledger ledger() {
        on(() -> {
            ledger.close(System.currentTimeMillis());
            return null;
        });
        return ledger;
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }
}

package wheatspread.lab.world;

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
import wheatspread.lab.standins.RecordsHandler;
import wheatspread.lab.standins.StandInEndpoint;

/**
 * Everybody round a fleet, on one loop: kernels, records, announce, proxies, and the ledger that books them.
 */
public final class World implements AutoCloseable {
    private static final int PROXIES = 4;
    private static final int SUBJECTS = 24_000;
    private static final long CALL_MICROS = 160_000;
    private static final long TICK_MICROS = 1_000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final InvariantChecker ledger = new InvariantChecker();
    private final Map<String, BookingKernel> kernels = new LinkedHashMap<>();
    private final Map<String, StandInEndpoint> kernelDoors = new HashMap<>();
    private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    private final List<SimulatedProxy> callers = new ArrayList<>();
    private final Random random = new Random(77);
    private final StandInEndpoint records;
    private final StandInEndpoint announce;
    private double perSecond;
    private long next;

    /** {@code servers}: the names, with the addresses on which each will listen. */
    public World(Map<String, InetSocketAddress> servers) {
        addresses.putAll(servers);
        ServerList list = new ServerList(loop, ledger, PROXIES);
        for (String name : servers.keySet()) {
            BookingKernel kernel = new BookingKernel(name, ledger, false);
            kernels.put(name, kernel);
            kernelDoors.put(name, new StandInEndpoint(group, () -> kernel.new Link(), true));
        }
        records = new StandInEndpoint(group, () -> new RecordsHandler(CALL_MICROS), false);
        announce = new StandInEndpoint(group, () -> list.new Reports(), true);
        for (int i = 0; i < PROXIES; i++) {
            callers.add(new SimulatedProxy(i, i % 2 == 1, i != PROXIES - 1, loop, ledger, list, addresses));
        }
        loop.scheduleAtFixedRate(this::tick, 0, TICK_MICROS, TimeUnit.MICROSECONDS);
    }

    /** Where the kernel of a server listens. */
    public StandInEndpoint kernelDoor(String name) {
        return kernelDoors.get(name);
    }

    /** The kernel of a second process of a server, told {@code BOOTED} after so many milliseconds. */
    public StandInEndpoint heirDoor(String name, long bootedAfter) {
        BookingKernel kernel = new BookingKernel(name, ledger, true);
        kernel.bootLate(bootedAfter);
        return new StandInEndpoint(group, () -> kernel.new Link(), true);
    }

    /** Proxies close a connection after so many requests on it from now on. */
    public void mostPerLink(int requests) {
        on(() -> {
            callers.forEach(one -> one.mostPerLink(requests));
            return null;
        });
    }

    /** What a server has in hand at this moment may be lost, for as long as its process takes to end. */
    public void mayLose(String name, long millis) {
        on(() -> {
            ledger.mayLose(name, System.currentTimeMillis() + millis);
            return null;
        });
    }

    public StandInEndpoint recordsDoor() {
        return records;
    }

    public StandInEndpoint announceDoor() {
        return announce;
    }

    /** LinkModel of the server's kernel get {@code BOOTED} so many milliseconds late from now on. */
    public void bootLate(String name, long millis) {
        on(() -> {
            kernels.get(name).bootLate(millis);
            return null;
        });
    }

    /** The server's kernel works as one that has just been started cold. */
    public void chill(String name) {
        on(() -> {
            kernels.get(name).chill();
            return null;
        });
    }

    /** How many links a server has opened to its kernel. */
    public int links(String name) {
        return on(() -> kernels.get(name).links());
    }

    /** The server's process was stopped between these times, in Unix milliseconds. */
    public void paused(String name, long from, long to) {
        on(() -> {
            ledger.paused(name, from, to);
            return null;
        });
    }

    /** How many requests were answered well so far. */
    public long served() {
        return on(ledger::served);
    }

    /** On the loop's thread, on which everything here lives. */
    <T> T on(Callable<T> task) {
        return loop.submit(task).syncUninterruptibly().getNow();
    }

    /** Clients ask so often from now on, times drawn as a Poisson process; 0 ends it. */
    public void setRequestRate(double rate) {
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
            String subject = kind.keyed()
                    ? "plan-" + random.nextLong(1L << 40)
                    : "dish-" + (int) (SUBJECTS * Math.pow(random.nextDouble(), 3));
            callers.get(random.nextInt(callers.size())).ask(kind, work, subject);
            next += (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
        }
    }

    /** A server was ended outright: what it had in hand is lost. */
    public void killed(String name) {
        on(() -> {
            ledger.killed(name);
            return null;
        });
    }

    /** The second process of each server is of a build that dies by itself: what it has in hand is lost. */
    public void expectSecondProcessesToDie() {
        on(() -> {
            ledger.excuse(name -> kernels.get(name).starts() == 2);
            return null;
        });
    }

    /** How many tries wait for their answers. */
    public int open() {
        return on(() -> ledger.open(System.currentTimeMillis()));
    }

    /** What came of it; to be looked at when nothing more is asked. */
    public InvariantChecker checker() {
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

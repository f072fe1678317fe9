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
 * Simulates the environment of a fleet on one event loop: kernels, records service, announce service, proxies
 * with their clients, and the checker that observes them. Public methods may be called from any thread but the
 * loop's own, and block until the loop has carried them out.
 */
public final class World implements AutoCloseable {
    private static final int PROXY_COUNT = 4;
    private static final int SUBJECT_COUNT = 24_000;
    private static final long RECORDS_CALL_MICROS = 160_000;
    private static final long TICK_MICROS = 1_000;
    private static final long DEFAULT_SEED = 77;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final InvariantChecker checker = new InvariantChecker();
    private final Map<String, SimulatedKernel> kernels = new LinkedHashMap<>();
    private final Map<String, StandInEndpoint> kernelEndpoints = new HashMap<>();
    private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    private final List<SimulatedProxy> proxies = new ArrayList<>();
    private final Random random;
    private final StandInEndpoint records;
    private final StandInEndpoint announce;
    private UwsgiClients uwsgiClients;
    private double requestsPerSecond;
    private long nextRequestNanos;

    /** Creates the services and proxies for these servers, given by name with the address each listens on. */
    public World(Map<String, InetSocketAddress> servers) {
        this(servers, DEFAULT_SEED);
    }

    /** Like {@link #World(Map)}; {@code seed} determines the clients' requests. */
    public World(Map<String, InetSocketAddress> servers, long seed) {
        random = new Random(seed);
        addresses.putAll(servers);
        SimulatedAnnounceService announceService = new SimulatedAnnounceService(loop, checker, PROXY_COUNT);
        for (String name : servers.keySet()) {
            SimulatedKernel kernel = new SimulatedKernel(name, checker, false);
            kernels.put(name, kernel);
            kernelEndpoints.put(name, new StandInEndpoint(group, () -> kernel.new Link(), true));
        }
        records = new StandInEndpoint(group, () -> new RecordsHandler(RECORDS_CALL_MICROS), false);
        announce = new StandInEndpoint(group, () -> announceService.new Reports(), true);
        for (int i = 0; i < PROXY_COUNT; i++) {
            proxies.add(
                    new SimulatedProxy(i, i % 2 == 1, i != PROXY_COUNT - 1, loop, checker, announceService, addresses));
        }
        loop.scheduleAtFixedRate(this::tick, 0, TICK_MICROS, TimeUnit.MICROSECONDS);
    }

    /** Returns the endpoint of a server's kernel. */
    public StandInEndpoint kernelEndpoint(String name) {
        return kernelEndpoints.get(name);
    }

    /** Creates the kernel of a second process of a server; its links get {@code BOOTED} after the given delay. */
    public StandInEndpoint createSuccessorKernel(String name, long handshakeDelayMillis) {
        SimulatedKernel kernel = new SimulatedKernel(name, checker, true);
        kernel.delayHandshake(handshakeDelayMillis);
        return new StandInEndpoint(group, () -> kernel.new Link(), true);
    }

    /** Makes proxies close a connection after this many requests on it. */
    public void limitRequestsPerConnection(int requests) {
        callOnLoop(() -> {
            proxies.forEach(proxy -> proxy.limitRequestsPerLink(requests));
            return null;
        });
    }

    /** Makes proxies use their open connections to servers that their lists no longer contain. */
    public void keepUsingOpenConnections() {
        callOnLoop(() -> {
            proxies.forEach(SimulatedProxy::keepUsingOpenLinks);
            return null;
        });
    }

    /** Starts clients of these uwsgi fronts, given by the names of their servers; the seed draws their requests. */
    public void startUwsgiClients(Map<String, InetSocketAddress> fronts, long seed) {
        callOnLoop(() -> uwsgiClients = new UwsgiClients(loop, checker, fronts, seed));
    }

    /** Plants a fault in what the checker observes, to show that the checker finds it. */
    public void plant(PlantedFault fault) {
        callOnLoop(() -> {
            checker.plant(fault);
            return null;
        });
    }

    /** Excuses losses of a server's attempts for {@code millis}, while one of its processes is being killed. */
    public void excuseLosses(String name, long millis) {
        callOnLoop(() -> {
            checker.excuseLossesUntil(name, System.currentTimeMillis() + millis);
            return null;
        });
    }

    public StandInEndpoint recordsEndpoint() {
        return records;
    }

    public StandInEndpoint announceEndpoint() {
        return announce;
    }

    /** Delays {@code BOOTED} on new links of the server's kernel by {@code millis}; 0 ends the delay. */
    public void delayHandshake(String name, long millis) {
        callOnLoop(() -> {
            kernels.get(name).delayHandshake(millis);
            return null;
        });
    }

    /** Slows the server's kernel down to the speed of a cold start. */
    public void restartKernelCold(String name) {
        callOnLoop(() -> {
            kernels.get(name).restartCold();
            return null;
        });
    }

    /** Returns the number of links that a server has opened to its kernel. */
    public int countKernelLinks(String name) {
        return callOnLoop(() -> kernels.get(name).linkCount());
    }

    /** Records that the server's process was stopped between these times, in Unix milliseconds. */
    public void recordPause(String name, long from, long to) {
        callOnLoop(() -> {
            checker.recordPause(name, from, to);
            return null;
        });
    }

    /** Returns the number of requests served so far. */
    public long countServed() {
        return callOnLoop(checker::countServed);
    }

    /** Runs a task on the event loop and returns its result; must not be called on the loop itself. */
    <T> T callOnLoop(Callable<T> task) {
        return loop.submit(task).syncUninterruptibly().getNow();
    }

    /** Sets the rate of client requests per second, a Poisson process; 0 stops them. */
    public void setRequestRate(double rate) {
        callOnLoop(() -> {
            if (requestsPerSecond == 0 && rate > 0) {
                nextRequestNanos = System.nanoTime();
                checker.beginMeasurement(System.currentTimeMillis());
            }
            requestsPerSecond = rate;
            if (rate == 0 && uwsgiClients != null) {
                uwsgiClients.stop();
            }
            return null;
        });
    }

    private void tick() {
        while (requestsPerSecond > 0 && nextRequestNanos <= System.nanoTime()) {
            Sites.Kind kind = Sites.kind(random);
            double meanWorkMillis = kind.keyed() ? 415 : 285;
            double workMillis = meanWorkMillis * Math.exp(0.4 * random.nextGaussian() - 0.08);
            // the popularity of subjects is skewed; each request with an idempotency key has a distinct subject
            String subject = kind.keyed()
                    ? "plan-" + random.nextLong(1L << 40)
                    : "dish-" + (int) (SUBJECT_COUNT * Math.pow(random.nextDouble(), 3));
            proxies.get(random.nextInt(proxies.size())).startRequest(kind, workMillis, subject);
            nextRequestNanos += (long) (-Math.log(1 - random.nextDouble()) / requestsPerSecond * 1e9);
        }
    }

    /** Records that a server was killed, which excuses its unanswered attempts. */
    public void recordKill(String name) {
        callOnLoop(() -> {
            checker.recordKill(name);
            return null;
        });
    }

    /** Excuses the losses of each server's second process, whose build is expected to exit by itself. */
    public void expectSecondProcessesToExit() {
        callOnLoop(() -> {
            checker.excuseServers(name -> kernels.get(name).startCount() == 2);
            return null;
        });
    }

    /** Returns the number of attempts whose response is pending. */
    public int countPendingAttempts() {
        return callOnLoop(() -> checker.countPending(System.currentTimeMillis()));
    }

    /** Returns the checker after it has reported unanswered attempts; to be called after the load has ended. */
    public InvariantChecker checker() {
        callOnLoop(() -> {
            checker.recordUnanswered(System.currentTimeMillis());
            return null;
        });
        return checker;
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }
}

package wheatspread.lab.rig;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.json.JSONObject;
import wheatspread.lab.Sites;
import wheatspread.lab.standins.StandInAddress;
import wheatspread.lab.standins.TemporaryFolders;
import wheatspread.lab.world.World;

/**
 * Test rig of several real server processes, each with a simulated kernel, and the simulated environment that
 * they share. Closing it kills all processes that it started and deletes their files.
 */
public final class Rig implements AutoCloseable {
    /** Time until all proxies see an announced server, which the simulated announce service delays. */
    private static final long ANNOUNCE_DELAY_MS = 2_300;
    /** Time after which every request has reached its deadline. */
    private static final long PENDING_TIMEOUT_MS = 16_000;

    private static final int MAX_SOCKETS = 512;

    private final Ports ports = new Ports();
    private final Path folder;
    private final World world;
    private final ProcessSignals signals = new ProcessSignals();
    private final Map<String, RigServer> members = new LinkedHashMap<>();
    private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();

    /** Creates a rig of {@code size} servers, named n1, n2 and so on; {@code flags} are their JVM flags. */
    public Rig(Path jar, List<String> flags, int size) throws IOException {
        this(jar, flags, names(size));
    }

    private static List<String> names(int size) {
        return IntStream.rangeClosed(1, size).mapToObj(i -> "n" + i).toList();
    }

    /** Creates a rig of servers with these names; {@code flags} are their JVM flags. */
    public Rig(Path jar, List<String> flags, List<String> names) throws IOException {
        this(jar, flags, names, World::new);
    }

    /** Creates a rig whose requests are drawn from {@code seed}, of {@code size} servers named n1, n2 and so on. */
    public Rig(Path jar, List<String> flags, int size, long seed) throws IOException {
        this(jar, flags, names(size), servers -> new World(servers, seed));
    }

    private Rig(
            Path jar, List<String> flags, List<String> names, Function<Map<String, InetSocketAddress>, World> newWorld)
            throws IOException {
        folder = Files.createTempDirectory("wheatspread-rig");
        List<String> command = new ArrayList<>(
                List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(flags);
        command.addAll(List.of("-jar", jar.toAbsolutePath().toString(), "serve"));
        for (String name : names) {
            addresses.put(name, ports.next());
            members.put(name, new RigServer(name, command, folder, signals));
        }
        world = newWorld.apply(addresses);
    }

    public World world() {
        return world;
    }

    public List<RigServer> members() {
        return List.copyOf(members.values());
    }

    /** Returns a free address that no other part of the rig uses. */
    public InetSocketAddress address() throws IOException {
        return ports.next();
    }

    /** Returns the addresses on which the servers listen for JSON-RPC. */
    public List<InetSocketAddress> listenAddresses() {
        return List.copyOf(addresses.values());
    }

    public RigServer member(String name) {
        return members.get(name);
    }

    /** Starts all servers and waits until they serve and the proxies see them. */
    public void start() throws IOException, InterruptedException {
        for (RigServer member : members.values()) {
            configure(member);
            member.start();
        }
        for (RigServer member : members.values()) {
            member.awaitServing();
        }
        TimeUnit.MILLISECONDS.sleep(ANNOUNCE_DELAY_MS);
    }

    /** Writes a server's configuration with the current addresses of its services. */
    public void configure(RigServer member) throws IOException {
        JSONObject config = Sites.config(
                world.kernelEndpoint(member.name()).text(),
                world.recordsEndpoint().text(),
                world.announceEndpoint().text(),
                MAX_SOCKETS,
                members.size());
        member.configure(
                config.put("name", member.name()).put("listen", StandInAddress.format(addresses.get(member.name()))));
    }

    /** Stops the load, waits for pending responses and returns the number of attempts that still lack one. */
    public int settle() throws InterruptedException {
        world.setRequestRate(0);
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PENDING_TIMEOUT_MS);
        while (world.countPendingAttempts() > 0 && System.nanoTime() < deadlineNanos) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return world.countPendingAttempts();
    }

    @Override
    public void close() throws IOException {
        for (RigServer member : members.values()) {
            if (member.isAlive()) {
                try {
                    member.kill();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        signals.close();
        world.close();
        TemporaryFolders.delete(folder);
    }
}

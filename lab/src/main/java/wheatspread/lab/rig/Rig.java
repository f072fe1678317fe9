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
import java.util.stream.IntStream;
import org.json.JSONObject;
import wheatspread.lab.Sites;
import wheatspread.lab.standins.StandInAddress;
import wheatspread.lab.standins.TemporaryFolders;
import wheatspread.lab.world.World;

/**
 * Several real processes of the program, each with its own kernel, and the world round them. Whoever tests
 * or measures several processes starts here. All processes that it started are gone when it is closed.
 */
public final class Rig implements AutoCloseable {
    /** Proxies see the list of servers late. */
    private static final long SEEN_MS = 2_300;
    /** After this long every request is over. */
    private static final long LAST_ANSWERS_MS = 16_000;

    private static final int SOCKETS = 512;

    private final Ports ports = new Ports();
    private final Path dir;
    private final World world;
    private final ProcessSignals signals = new ProcessSignals();
    private final Map<String, RigServer> members = new LinkedHashMap<>();
    private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();

    /** {@code flags} are those of the JVMs. */
    public Rig(Path jar, List<String> flags, int size) throws IOException {
        this(jar, flags, names(size));
    }

    private static List<String> names(int size) {
        return IntStream.rangeClosed(1, size).mapToObj(i -> "n" + i).toList();
    }

    /** Servers of these names. */
    public Rig(Path jar, List<String> flags, List<String> names) throws IOException {
        dir = Files.createTempDirectory("wheatspread-rig");
        List<String> command = new ArrayList<>(
                List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(flags);
        command.addAll(List.of("-jar", jar.toAbsolutePath().toString(), "serve"));
        for (String name : names) {
            addresses.put(name, ports.next());
            members.put(name, new RigServer(name, command, dir, signals));
        }
        world = new World(addresses);
    }

    public World world() {
        return world;
    }

    public List<RigServer> members() {
        return List.copyOf(members.values());
    }

    /** An address that nobody else of the rig uses. */
    public InetSocketAddress address() throws IOException {
        return ports.next();
    }

    public RigServer member(String name) {
        return members.get(name);
    }

    /** Starts all and waits until they serve and the proxies know them. */
    public void start() throws IOException, InterruptedException {
        for (RigServer member : members.values()) {
            configure(member);
            member.start();
        }
        for (RigServer member : members.values()) {
            member.awaitServing();
        }
        TimeUnit.MILLISECONDS.sleep(SEEN_MS);
    }

    /** Writes the configuration of a server with the addresses of this moment. */
    public void configure(RigServer member) throws IOException {
        JSONObject config = Sites.config(
                world.kernelEndpoint(member.name()).text(),
                world.recordsEndpoint().text(),
                world.announceEndpoint().text(),
                SOCKETS,
                members.size());
        member.configure(
                config.put("name", member.name()).put("listen", StandInAddress.format(addresses.get(member.name()))));
    }

    /** Ends the load and waits until every request is over; returns how many still lack an answer. */
    public int settle() throws InterruptedException {
        world.setRequestRate(0);
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LAST_ANSWERS_MS);
        while (world.countPendingAttempts() > 0 && System.nanoTime() < until) {
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
        TemporaryFolders.delete(dir);
    }
}

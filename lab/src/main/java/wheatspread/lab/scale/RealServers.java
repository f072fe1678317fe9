package wheatspread.lab.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
import org.json.JSONArray;
import org.json.JSONObject;
import wheatspread.lab.rig.ProcessFigures;
import wheatspread.lab.rig.Rig;
import wheatspread.lab.rig.RigServer;
import wheatspread.lab.standins.ControlClient;
import wheatspread.lab.standins.StandInAddress;

/**
 * The real servers of a fleet: complete server processes under load. Their state is read from their logs and control
 * sockets. They are stopped when this object is closed or the lab is interrupted.
 */
final class RealServers implements AutoCloseable {
    private static final String VARIABLE_PREFIX = "edge_gw.peers.";

    private final Rig rig;
    private final List<String> addresses = new ArrayList<>();
    private final Map<String, Integer> linesRead = new HashMap<>();
    private final Map<String, ViewEvents.ViewEvent> views = new HashMap<>();
    private final AtomicBoolean closed = new AtomicBoolean();
    private final Thread shutdownHook = new Thread(this::stop, "end of the real servers");

    /** Traffic that all real servers sent to peers. */
    record Sent(long messages, long bytes) {}

    /** Prepares servers named m1, m2 and so on without starting them. */
    RealServers(ScaleSettings settings, int count) throws IOException {
        rig = new Rig(
                settings.jar(),
                settings.flags(),
                IntStream.rangeClosed(1, count).mapToObj(i -> "m" + i).toList());
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        for (int i = 0; i < count; i++) {
            addresses.add(StandInAddress.format(rig.address()));
        }
    }

    /** Returns a loopback address that no other part of the rig uses. */
    InetSocketAddress freeAddress() throws IOException {
        return rig.address();
    }

    /** The peer addresses of the servers, in the order of their names. */
    List<String> addresses() {
        return List.copyOf(addresses);
    }

    int size() {
        return addresses.size();
    }

    Rig rig() {
        return rig;
    }

    /** Writes an operator file for each server that turns membership on; server i gets the i-th zone. */
    void turnMembershipOn(String cluster, List<String> seeds, List<String> zones) throws IOException {
        for (int i = 0; i < size(); i++) {
            JSONObject membership = new JSONObject()
                    .put("cluster", cluster)
                    .put("listen", addresses.get(i))
                    .put("seeds", new JSONArray(seeds))
                    .put("zone", zones.get(i));
            rig.members().get(i).setOperatorConfig(new JSONObject().put("membership", membership), rig.address());
        }
    }

    /**
     * Reads the log lines since the last call. Returns the members that views dropped although they did not leave by
     * themselves.
     */
    Set<String> readLogs() {
        Set<String> removed = new LinkedHashSet<>();
        for (RigServer server : rig.members()) {
            List<String> lines = server.log().lines();
            for (int i = linesRead.getOrDefault(server.name(), 0); i < lines.size(); i++) {
                ViewEvents.ViewEvent event = ViewEvents.parse(lines.get(i));
                if (event != null) {
                    views.put(server.name(), event);
                    removed.addAll(event.removed());
                }
            }
            linesRead.put(server.name(), lines.size());
        }
        return removed;
    }

    /** The views of the servers as of the last {@link #readLogs}, without those of servers outside their view. */
    List<ViewKey> views() {
        return views.values().stream()
                .filter(ViewEvents.ViewEvent::inView)
                .map(ViewEvents.ViewEvent::view)
                .toList();
    }

    /** Number of servers whose control socket reports the view as stale, or does not answer. */
    int staleViews() {
        return (int) rig.members().stream()
                .filter(server -> value(server, "stands") != 1)
                .count();
    }

    /** The reason that the first server with a stale view reports for it; empty if no view is stale. */
    String staleViewReason() {
        return rig.members().stream()
                .map(server -> ControlClient.members(server.controlAddress()))
                .filter(members -> members != null && !members.getBoolean("stands"))
                .map(members -> members.getString("name") + ": " + members.getString("why_not"))
                .findFirst()
                .orElse("");
    }

    /** Traffic that the servers sent to peers since their starts. */
    Sent sent() {
        long messages = 0;
        long bytes = 0;
        for (RigServer server : rig.members()) {
            messages += Math.max(0, value(server, "sent"));
            bytes += Math.max(0, value(server, "sent_bytes"));
        }
        return new Sent(messages, bytes);
    }

    /** Returns a variable from a server's control socket; -1 if the server does not answer or lacks the variable. */
    private static long value(RigServer member, String name) {
        String vars =
                member.controlAddress() == null ? null : ControlClient.request(member.controlAddress(), "GET /_vars");
        return vars == null
                ? -1
                : vars.lines()
                        .filter(line -> line.startsWith(VARIABLE_PREFIX + name + "="))
                        .mapToLong(line -> Long.parseLong(
                                line.substring(line.indexOf('=') + 1).trim()))
                        .findFirst()
                        .orElse(-1);
    }

    /** Processor time of each server since its start, in seconds. */
    double[] processorSeconds() throws IOException {
        double[] seconds = new double[size()];
        for (int i = 0; i < seconds.length; i++) {
            seconds[i] = ProcessFigures.processorSeconds(rig.members().get(i).pid());
        }
        return seconds;
    }

    /** Resident memory in bytes, averaged over the servers. */
    double residentBytes() throws IOException {
        double bytes = 0;
        for (RigServer server : rig.members()) {
            bytes += ProcessFigures.residentBytes(server.pid());
        }
        return bytes / size();
    }

    /** Heap in use after a full collection, in bytes, averaged over the servers. */
    double liveHeapBytes() throws IOException, InterruptedException {
        double bytes = 0;
        for (RigServer server : rig.members()) {
            bytes += ProcessFigures.liveHeapBytes(server.pid());
        }
        return bytes / size();
    }

    @Override
    public void close() {
        stop();
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        } catch (IllegalStateException e) {
            return; // The lab is being interrupted and the hook is running already.
        }
    }

    private void stop() {
        if (closed.getAndSet(true)) {
            return;
        }
        try {
            rig.close();
        } catch (IOException e) {
            System.err.println("deleting the files of the rig failed; some remain: " + e.getMessage());
        }
    }
}

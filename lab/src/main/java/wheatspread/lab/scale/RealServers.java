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
 * The real servers of a fleet: whole processes with load. What they hold is read from their logs and doors. They are
 * ended when this is closed or the lab is interrupted.
 */
final class RealServers implements AutoCloseable {
    private static final String VARS = "edge_gw.peers.";

    private final Rig rig;
    private final List<String> addresses = new ArrayList<>();
    private final Map<String, Integer> linesRead = new HashMap<>();
    private final Map<String, ViewEvents.Seen> views = new HashMap<>();
    private final AtomicBoolean closed = new AtomicBoolean();
    private final Thread onInterrupt = new Thread(this::end, "end of the real servers");

    /** What was sent to peers by all real servers. */
    record Sent(long messages, long bytes) {}

    /** Prepares servers named m1, m2 and so on; nothing runs yet. */
    RealServers(ScaleSettings settings, int count) throws IOException {
        rig = new Rig(
                settings.jar(),
                settings.flags(),
                IntStream.rangeClosed(1, count).mapToObj(i -> "m" + i).toList());
        Runtime.getRuntime().addShutdownHook(onInterrupt);
        for (int i = 0; i < count; i++) {
            addresses.add(StandInAddress.format(rig.address()));
        }
    }

    /** A loopback address that nobody else of the rig uses. */
    InetSocketAddress freeAddress() throws IOException {
        return rig.address();
    }

    /** Where the peers of each are reached, in the order of their names. */
    List<String> addresses() {
        return List.copyOf(addresses);
    }

    int size() {
        return addresses.size();
    }

    Rig rig() {
        return rig;
    }

    /** Gives each an operator's file that turns membership on; each stands in the zone of its place in the list. */
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

    /** Reads what the logs tell since the last look; returns members that went and not by themselves. */
    Set<String> look() {
        Set<String> removed = new LinkedHashSet<>();
        for (RigServer one : rig.members()) {
            List<String> lines = one.log().lines();
            for (int i = linesRead.getOrDefault(one.name(), 0); i < lines.size(); i++) {
                ViewEvents.Seen seen = ViewEvents.parse(lines.get(i));
                if (seen != null) {
                    views.put(one.name(), seen);
                    removed.addAll(seen.removed());
                }
            }
            linesRead.put(one.name(), lines.size());
        }
        return removed;
    }

    /** The views that the servers hold, as of the last look; servers in none are left out. */
    List<ViewKey> views() {
        return views.values().stream()
                .filter(ViewEvents.Seen::in)
                .map(ViewEvents.Seen::view)
                .toList();
    }

    /** How many say at their doors that their view is old, or say nothing. */
    int old() {
        return (int)
                rig.members().stream().filter(one -> value(one, "stands") != 1).count();
    }

    /** Why the first server with an old view says that it is old; empty where none does. */
    String whyOld() {
        return rig.members().stream()
                .map(one -> ControlClient.members(one.controlAddress()))
                .filter(told -> told != null && !told.getBoolean("stands"))
                .map(told -> told.getString("name") + ": " + told.getString("why_not"))
                .findFirst()
                .orElse("");
    }

    /** What they have sent to peers since their starts. */
    Sent sent() {
        long messages = 0;
        long bytes = 0;
        for (RigServer one : rig.members()) {
            messages += Math.max(0, value(one, "sent"));
            bytes += Math.max(0, value(one, "sent_bytes"));
        }
        return new Sent(messages, bytes);
    }

    /** A figure of a server's door; -1 where it does not tell. */
    private static long value(RigServer member, String name) {
        String vars =
                member.controlAddress() == null ? null : ControlClient.request(member.controlAddress(), "GET /_vars");
        return vars == null
                ? -1
                : vars.lines()
                        .filter(line -> line.startsWith(VARS + name + "="))
                        .mapToLong(line -> Long.parseLong(
                                line.substring(line.indexOf('=') + 1).trim()))
                        .findFirst()
                        .orElse(-1);
    }

    /** Processor seconds of each so far. */
    double[] processorSeconds() throws IOException {
        double[] seconds = new double[size()];
        for (int i = 0; i < seconds.length; i++) {
            seconds[i] = ProcessFigures.processorSeconds(rig.members().get(i).pid());
        }
        return seconds;
    }

    /** Bytes, mean of a server. */
    double residentBytes() throws IOException {
        double bytes = 0;
        for (RigServer one : rig.members()) {
            bytes += ProcessFigures.residentBytes(one.pid());
        }
        return bytes / size();
    }

    /** Bytes of heap that a collection leaves, mean of a server. */
    double liveHeapBytes() throws IOException, InterruptedException {
        double bytes = 0;
        for (RigServer one : rig.members()) {
            bytes += ProcessFigures.liveHeapBytes(one.pid());
        }
        return bytes / size();
    }

    @Override
    public void close() {
        end();
        try {
            Runtime.getRuntime().removeShutdownHook(onInterrupt);
        } catch (IllegalStateException e) {
            return; // the lab is being interrupted, and the hook runs already
        }
    }

    private void end() {
        if (closed.getAndSet(true)) {
            return;
        }
        try {
            rig.close();
        } catch (IOException e) {
            System.err.println("the rig's files could not be deleted: " + e.getMessage());
        }
    }
}

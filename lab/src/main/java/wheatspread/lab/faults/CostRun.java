package wheatspread.lab.faults;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.json.JSONArray;
import org.json.JSONObject;
import wheatspread.lab.rig.ProcessFigures;
import wheatspread.lab.rig.Rig;
import wheatspread.lab.rig.RigServer;
import wheatspread.lab.standins.ControlClient;
import wheatspread.lab.standins.StandInAddress;

/** Measures what membership costs servers under load: response times, CPU time and memory with and without it. */
public final class CostRun {
    /** Time for the JVM to compile and the cluster to form before the measurement. */
    private static final long WARM_UP_MS = 20_000;

    private static final int SEED_COUNT = 3;

    private final Path jar;
    private final List<String> flags;
    private final int servers;
    private final double rate;
    private final long millis;

    /** Creates runs at {@code rate} requests per second for all servers together, measured for {@code millis}. */
    public CostRun(Path jar, List<String> flags, int servers, double rate, long millis) {
        this.jar = jar;
        this.flags = flags;
        this.servers = servers;
        this.rate = rate;
        this.millis = millis;
    }

    /** Performs one run with or without membership; figures per server are means over all servers. */
    public JSONObject run(boolean membership) throws Exception {
        List<String> names =
                IntStream.rangeClosed(1, servers).mapToObj(i -> "m" + i).toList();
        try (Rig rig = new Rig(jar, flags, names)) {
            if (membership) {
                enableMembership(rig);
            }
            rig.start();
            rig.world().setRequestRate(rate);
            TimeUnit.MILLISECONDS.sleep(WARM_UP_MS);
            double cpuSecondsBefore = cpuSeconds(rig);
            long beganNanos = System.nanoTime();
            long[] peerTrafficBefore = peerTraffic(rig, membership);
            TimeUnit.MILLISECONDS.sleep(millis);
            double seconds = (System.nanoTime() - beganNanos) / 1e9;
            double usedCpuSeconds = cpuSeconds(rig) - cpuSecondsBefore;
            long[] peerTrafficAfter = peerTraffic(rig, membership);
            JSONObject figures = new JSONObject()
                    .put("membership", membership)
                    .put("servers", servers)
                    .put("rate", rate)
                    .put("cpu_percent_of_a_core", 100 * usedCpuSeconds / seconds / servers)
                    .put("rss_kb", meanResidentKb(rig))
                    .put("live_heap_kb", meanLiveHeapKb(rig))
                    .put("peer_messages_per_s", (peerTrafficAfter[0] - peerTrafficBefore[0]) / seconds / servers)
                    .put("peer_bytes_per_s", (peerTrafficAfter[1] - peerTrafficBefore[1]) / seconds / servers)
                    .put("open_at_end", rig.settle());
            return figures.put("load", rig.world().checker().figures())
                    .put("broken", rig.world().checker().countViolations());
        }
    }

    private static void enableMembership(Rig rig) throws IOException {
        JSONArray seeds = new JSONArray();
        JSONObject[] memberships = new JSONObject[rig.members().size()];
        for (int i = 0; i < memberships.length; i++) {
            String listen = StandInAddress.format(rig.address());
            memberships[i] = new JSONObject()
                    .put("cluster", "cost")
                    .put("listen", listen)
                    .put("seeds", seeds);
            if (i < SEED_COUNT) {
                seeds.put(listen);
            }
        }
        for (int i = 0; i < memberships.length; i++) {
            rig.members().get(i).setOperatorConfig(new JSONObject().put("membership", memberships[i]), rig.address());
        }
    }

    private static double cpuSeconds(Rig rig) throws IOException {
        double seconds = 0;
        for (RigServer member : rig.members()) {
            seconds += ProcessFigures.processorSeconds(member.pid());
        }
        return seconds;
    }

    /** Returns the mean resident memory of a server in KB. */
    private static double meanResidentKb(Rig rig) throws IOException {
        double bytes = 0;
        for (RigServer member : rig.members()) {
            bytes += ProcessFigures.residentBytes(member.pid());
        }
        return bytes / 1024 / rig.members().size();
    }

    /** Returns the mean heap of a server after a full collection, in KB. */
    private static double meanLiveHeapKb(Rig rig) throws IOException, InterruptedException {
        double bytes = 0;
        for (RigServer member : rig.members()) {
            bytes += ProcessFigures.liveHeapBytes(member.pid());
        }
        return bytes / 1024 / rig.members().size();
    }

    /** Returns the messages and bytes sent by all servers so far; both 0 without membership. */
    private static long[] peerTraffic(Rig rig, boolean membership) {
        long[] sums = new long[2];
        for (RigServer member : membership ? rig.members() : List.<RigServer>of()) {
            String vars = ControlClient.request(member.controlAddress(), "GET /_vars");
            for (String line : vars == null ? new String[0] : vars.split("\n")) {
                sums[0] += line.startsWith("edge_gw.peers.sent=") ? value(line) : 0;
                sums[1] += line.startsWith("edge_gw.peers.sent_bytes=") ? value(line) : 0;
            }
        }
        return sums;
    }

    private static long value(String line) {
        return Long.parseLong(line.substring(line.indexOf('=') + 1).trim());
    }
}

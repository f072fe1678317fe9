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

/** What membership costs servers under load: answers, processor time and memory, with it and without. */
public final class CostRun {
    /** The JVM compiles and the fleet forms meanwhile. */
    private static final long WARM_MS = 20_000;

    private static final int SEEDS = 3;

    private final Path jar;
    private final List<String> flags;
    private final int servers;
    private final double rate;
    private final long millis;

    /** {@code rate}: requests a second for all together, measured for so long. */
    public CostRun(Path jar, List<String> flags, int servers, double rate, long millis) {
        this.jar = jar;
        this.flags = flags;
        this.servers = servers;
        this.rate = rate;
        this.millis = millis;
    }

    /** One run; a server's figures are means. */
    public JSONObject run(boolean membership) throws Exception {
        List<String> names =
                IntStream.rangeClosed(1, servers).mapToObj(i -> "m" + i).toList();
        try (Rig rig = new Rig(jar, flags, names)) {
            if (membership) {
                turnOn(rig);
            }
            rig.start();
            rig.world().setRequestRate(rate);
            TimeUnit.MILLISECONDS.sleep(WARM_MS);
            double cpu = processorSeconds(rig);
            long began = System.nanoTime();
            long[] peers = peers(rig, membership);
            TimeUnit.MILLISECONDS.sleep(millis);
            double seconds = (System.nanoTime() - began) / 1e9;
            double used = processorSeconds(rig) - cpu;
            long[] peersAfter = peers(rig, membership);
            JSONObject figures = new JSONObject()
                    .put("membership", membership)
                    .put("servers", servers)
                    .put("rate", rate)
                    .put("cpu_percent_of_a_core", 100 * used / seconds / servers)
                    .put("rss_kb", resident(rig))
                    .put("live_heap_kb", liveHeap(rig))
                    .put("peer_messages_per_s", (peersAfter[0] - peers[0]) / seconds / servers)
                    .put("peer_bytes_per_s", (peersAfter[1] - peers[1]) / seconds / servers)
                    .put("open_at_end", rig.settle());
            return figures.put("load", rig.world().checker().figures())
                    .put("broken", rig.world().checker().countViolations());
        }
    }

    private static void turnOn(Rig rig) throws IOException {
        JSONArray seeds = new JSONArray();
        JSONObject[] told = new JSONObject[rig.members().size()];
        for (int i = 0; i < told.length; i++) {
            String listen = StandInAddress.format(rig.address());
            told[i] = new JSONObject()
                    .put("cluster", "cost")
                    .put("listen", listen)
                    .put("seeds", seeds);
            if (i < SEEDS) {
                seeds.put(listen);
            }
        }
        for (int i = 0; i < told.length; i++) {
            rig.members().get(i).setOperatorConfig(new JSONObject().put("membership", told[i]), rig.address());
        }
    }

    private static double processorSeconds(Rig rig) throws IOException {
        double seconds = 0;
        for (RigServer one : rig.members()) {
            seconds += ProcessFigures.processorSeconds(one.pid());
        }
        return seconds;
    }

    /** Kilobytes, mean of a server. */
    private static double resident(Rig rig) throws IOException {
        double bytes = 0;
        for (RigServer one : rig.members()) {
            bytes += ProcessFigures.residentBytes(one.pid());
        }
        return bytes / 1024 / rig.members().size();
    }

    /** Kilobytes that a collection leaves, mean of a server. */
    private static double liveHeap(Rig rig) throws IOException, InterruptedException {
        double bytes = 0;
        for (RigServer one : rig.members()) {
            bytes += ProcessFigures.liveHeapBytes(one.pid());
        }
        return bytes / 1024 / rig.members().size();
    }

    /** Messages and bytes sent by all; nothing where membership is off. */
    private static long[] peers(Rig rig, boolean membership) {
        long[] sums = new long[2];
        for (RigServer one : membership ? rig.members() : List.<RigServer>of()) {
            String vars = ControlClient.request(one.controlAddress(), "GET /_vars");
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

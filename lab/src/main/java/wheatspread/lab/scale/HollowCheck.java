package wheatspread.lab.scale;

import java.io.IOException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;

/**
 * Hollow servers checked against real ones: a fleet of real servers alone, without load, and one of as many hollow
 * servers alone. What a real server spends besides membership is told by the same servers without it.
 */
public final class HollowCheck {
    private static final double FORM_SECONDS = 60;
    private static final double WARM_SECONDS = 12;
    private static final double WATCH_SECONDS = 12;

    private final ScaleSettings settings;
    private final int servers;

    public HollowCheck(ScaleSettings settings, int servers) {
        this.settings = settings;
        this.servers = servers;
    }

    /** Figures of a member in each of the fleets, and how they differ. */
    public JSONObject play() throws IOException, InterruptedException {
        Map<String, Double> without = withoutMembership();
        Map<String, Double> real = play(0, servers);
        Map<String, Double> hollow = play(servers, 0);
        return new JSONObject()
                .put("servers", servers)
                .put("real_without_membership", without)
                .put("real", real)
                .put("hollow", hollow)
                .put("real_less_hollow", difference(real, hollow))
                .put("real_less_real_without_membership", difference(real, without));
    }

    private static Map<String, Double> difference(Map<String, Double> from, Map<String, Double> what) {
        Map<String, Double> difference = new LinkedHashMap<>();
        from.forEach((name, value) -> difference.put(name, value - what.get(name)));
        return difference;
    }

    /** The same real servers that know nothing of each other: what membership is added to. */
    private Map<String, Double> withoutMembership() throws IOException, InterruptedException {
        try (RealServers real = new RealServers(settings, servers)) {
            real.rig().start();
            TimeUnit.MILLISECONDS.sleep(Math.round(WARM_SECONDS * 1e3));
            double[] before = real.processorSeconds();
            long begun = System.nanoTime();
            TimeUnit.MILLISECONDS.sleep(Math.round(WATCH_SECONDS * 1e3));
            double used = Arrays.stream(real.processorSeconds()).sum()
                    - Arrays.stream(before).sum();
            Map<String, Double> figures = new LinkedHashMap<>();
            figures.put("cpu_percent", 100 * used / ((System.nanoTime() - begun) / 1e9) / servers);
            figures.put("bytes_per_s", 0.0);
            figures.put("messages_per_s", 0.0);
            figures.put("resident_bytes", real.residentBytes());
            figures.put("heap_bytes", real.liveHeapBytes());
            return figures;
        }
    }

    private Map<String, Double> play(int hollow, int real) throws IOException, InterruptedException {
        try (ScaleFleet fleet = new ScaleFleet(settings, hollow, real)) {
            fleet.start();
            fleet.startNext(servers);
            if (Double.isNaN(new ObservationWindow(fleet).awaitView(System.nanoTime(), FORM_SECONDS))) {
                throw new IOException("no view of " + fleet.members() + " servers in " + FORM_SECONDS + " s");
            }
            new ObservationWindow(fleet).watch(WARM_SECONDS);
            ObservationWindow window = new ObservationWindow(fleet);
            window.watch(WATCH_SECONDS);
            JSONObject told = window.figures();
            boolean ofReal = real > 0;
            Map<String, Double> figures = new LinkedHashMap<>();
            figures.put("cpu_percent", told.getDouble(ofReal ? "real_cpu_percent" : "hollow_cpu_percent"));
            figures.put("bytes_per_s", told.getDouble(ofReal ? "real_bytes_per_s" : "bytes_per_s"));
            figures.put("messages_per_s", told.getDouble(ofReal ? "real_messages_per_s" : "messages_per_s"));
            figures.put(
                    "resident_bytes", ofReal ? fleet.real().residentBytes() : fleet.hollowResidentBytes() / servers);
            figures.put("heap_bytes", ofReal ? fleet.real().liveHeapBytes() : fleet.hollowLiveHeapBytes() / servers);
            return figures;
        }
    }
}

package wheatspread.lab.scale;

import java.io.IOException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;

/**
 * Compares hollow servers with real ones: measures a fleet of real servers without load and a fleet of as many hollow
 * servers. The same real servers without membership give the resources that a real server uses besides membership.
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

    /** Measures each of the fleets; returns the figures per member and their differences. */
    public JSONObject run() throws IOException, InterruptedException {
        Map<String, Double> withoutMembership = measureWithoutMembership();
        Map<String, Double> real = measure(0, servers);
        Map<String, Double> hollow = measure(servers, 0);
        return new JSONObject()
                .put("servers", servers)
                .put("real_without_membership", withoutMembership)
                .put("real", real)
                .put("hollow", hollow)
                .put("real_less_hollow", difference(real, hollow))
                .put("real_less_real_without_membership", difference(real, withoutMembership));
    }

    private static Map<String, Double> difference(Map<String, Double> minuend, Map<String, Double> subtrahend) {
        Map<String, Double> difference = new LinkedHashMap<>();
        minuend.forEach((name, value) -> difference.put(name, value - subtrahend.get(name)));
        return difference;
    }

    /** Measures the real servers with membership turned off, as the baseline to which membership adds its cost. */
    private Map<String, Double> measureWithoutMembership() throws IOException, InterruptedException {
        try (RealServers real = new RealServers(settings, servers)) {
            real.rig().start();
            TimeUnit.MILLISECONDS.sleep(Math.round(WARM_SECONDS * 1e3));
            double[] secondsBefore = real.processorSeconds();
            long startNanos = System.nanoTime();
            TimeUnit.MILLISECONDS.sleep(Math.round(WATCH_SECONDS * 1e3));
            double usedSeconds = Arrays.stream(real.processorSeconds()).sum()
                    - Arrays.stream(secondsBefore).sum();
            Map<String, Double> figures = new LinkedHashMap<>();
            figures.put("cpu_percent", 100 * usedSeconds / ((System.nanoTime() - startNanos) / 1e9) / servers);
            figures.put("bytes_per_s", 0.0);
            figures.put("messages_per_s", 0.0);
            figures.put("resident_bytes", real.residentBytes());
            figures.put("heap_bytes", real.liveHeapBytes());
            return figures;
        }
    }

    private Map<String, Double> measure(int hollow, int real) throws IOException, InterruptedException {
        try (ScaleFleet fleet = new ScaleFleet(settings, hollow, real)) {
            fleet.start();
            fleet.startNext(servers);
            if (Double.isNaN(new ObservationWindow(fleet).awaitView(System.nanoTime(), FORM_SECONDS))) {
                throw new IOException("no view of " + fleet.members() + " servers in " + FORM_SECONDS + " s");
            }
            new ObservationWindow(fleet).watch(WARM_SECONDS);
            ObservationWindow window = new ObservationWindow(fleet);
            window.watch(WATCH_SECONDS);
            JSONObject windowFigures = window.figures();
            boolean realOnly = real > 0;
            Map<String, Double> figures = new LinkedHashMap<>();
            figures.put("cpu_percent", windowFigures.getDouble(realOnly ? "real_cpu_percent" : "hollow_cpu_percent"));
            figures.put("bytes_per_s", windowFigures.getDouble(realOnly ? "real_bytes_per_s" : "bytes_per_s"));
            figures.put("messages_per_s", windowFigures.getDouble(realOnly ? "real_messages_per_s" : "messages_per_s"));
            figures.put(
                    "resident_bytes", realOnly ? fleet.real().residentBytes() : fleet.hollowResidentBytes() / servers);
            figures.put("heap_bytes", realOnly ? fleet.real().liveHeapBytes() : fleet.hollowLiveHeapBytes() / servers);
            return figures;
        }
    }
}

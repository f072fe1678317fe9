package wheatspread.lab.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.HdrHistogram.Histogram;
import org.json.JSONObject;
import wheatspread.store.StoreSettings;

/** Groups of one size written by each of the writers in turns, on fresh files. */
public final class StoreRuns {
    public static final List<String> WRITERS = List.of("bare", "store", "plain");
    private static final StoreSettings SETTINGS = StoreSettings.DEFAULT.withSizes(64 << 20, 4L << 30, 1L << 30);

    /** Groups that wait at a time while writes are counted: one is written while others gather. */
    private static final int IN_FLIGHT = 4;

    private final Path folder;
    private final int group;
    private final long millis;
    private long serial;

    /** @param millis of each run */
    public StoreRuns(Path folder, int group, long millis) {
        this.folder = folder;
        this.group = group;
        this.millis = millis;
    }

    /** A key of 24 bytes. */
    public static byte[] key(long number) {
        return ByteBuffer.allocate(24)
                .putLong(number * 0x9E3779B97F4A7C15L)
                .putLong(number)
                .array();
    }

    /** Writes a second and the latency of a group, the medians of all rounds; and the ratios. */
    public JSONObject measureRounds(int rounds) throws Exception {
        Map<String, List<JSONObject>> all = new LinkedHashMap<>();
        for (int i = 0; i <= rounds; i++) {
            for (String one : WRITERS) {
                JSONObject run = run(one);
                if (i > 0) { // the first warms up
                    all.computeIfAbsent(one, w -> new ArrayList<>()).add(run);
                }
            }
        }
        JSONObject figures = new JSONObject();
        all.forEach((one, runs) -> figures.put(one, medians(runs)));
        return figures.put("times_plain", ratio(all, "store", "plain"))
                .put("bare_over_store", ratio(all, "bare", "store"));
    }

    /** The median of the ratios within each round, since the disk is not the same from one to the next. */
    private static double ratio(Map<String, List<JSONObject>> all, String one, String other) {
        double[] ratios = new double[all.get(one).size()];
        for (int i = 0; i < ratios.length; i++) {
            ratios[i] = all.get(one).get(i).getDouble("writes_per_s")
                    / all.get(other).get(i).getDouble("writes_per_s");
        }
        Arrays.sort(ratios);
        return ratios[ratios.length / 2];
    }

    private JSONObject run(String which) throws Exception {
        Files.createDirectories(folder);
        Histogram latency = new Histogram(3_600_000_000L, 3);
        run(which, 1, latency);
        double writes = run(which, IN_FLIGHT, new Histogram(3_600_000_000L, 3));
        return new JSONObject()
                .put("writes_per_s", writes)
                .put("p50_us", latency.getValueAtPercentile(50))
                .put("p99_us", latency.getValueAtPercentile(99));
    }

    /** Writes a second; the latency is from a group's begin until nothing that was begun with it waits. */
    private double run(String which, int inFlight, Histogram latency) throws Exception {
        byte[] value = new byte[100];
        long writes = 0;
        long begun;
        ArrayDeque<CountDownLatch> waiting = new ArrayDeque<>();
        try (Writers writer = open(which, folder.resolve(which + "-" + serial++))) {
            begun = System.nanoTime();
            for (long now = begun; now - begun < millis * 1_000_000; now = System.nanoTime()) {
                byte[][] keys = new byte[group][];
                for (int i = 0; i < group; i++) {
                    keys[i] = key(writes++ % 200_000);
                }
                long from = System.nanoTime();
                waiting.add(writer.begin(keys, value));
                while (waiting.size() >= inFlight) {
                    waiting.poll().await();
                }
                latency.recordValue((System.nanoTime() - from) / 1_000);
            }
            while (!waiting.isEmpty()) {
                waiting.poll().await();
            }
            begun = System.nanoTime() - begun;
        }
        return writes * 1e9 / begun;
    }

    private Writers open(String which, Path place) throws IOException {
        return switch (which) {
            case "bare" -> Writers.bare(place);
            case "store" -> Writers.store(place, SETTINGS.withQueue(100_000, 64 << 20, group));
            default -> Writers.plain(place);
        };
    }

    private static JSONObject medians(List<JSONObject> runs) {
        JSONObject medians = new JSONObject();
        for (String key : runs.get(0).keySet()) {
            medians.put(
                    key,
                    runs.stream()
                            .mapToDouble(run -> run.getDouble(key))
                            .sorted()
                            .toArray()[runs.size() / 2]);
        }
        return medians;
    }
}

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

/** Measures writes in groups of one size with each of the writers in turn, on new files. */
public final class StoreRuns {
    public static final List<String> WRITERS = List.of("bare", "store", "plain");
    private static final StoreSettings STORE_SETTINGS = StoreSettings.DEFAULT.withSizes(64 << 20, 4L << 30, 1L << 30);

    /** Groups in flight while throughput is measured: one is written while the others are collected. */
    private static final int MAX_GROUPS_IN_FLIGHT = 4;

    private final Path folder;
    private final int groupSize;
    private final long runMillis;
    private long serial;

    /** @param runMillis the duration of each run */
    public StoreRuns(Path folder, int groupSize, long runMillis) {
        this.folder = folder;
        this.groupSize = groupSize;
        this.runMillis = runMillis;
    }

    /** Returns the 24-byte key of a number; consecutive numbers give keys that differ in their first bytes. */
    public static byte[] key(long number) {
        return ByteBuffer.allocate(24)
                .putLong(number * 0x9E3779B97F4A7C15L)
                .putLong(number)
                .array();
    }

    /**
     * Measures all writers in each round and returns the medians over the rounds of writes per second and group
     * latency, and the ratios between writers. An additional first round warms up and is not counted.
     */
    public JSONObject measureRounds(int rounds) throws Exception {
        Map<String, List<JSONObject>> runsByWriter = new LinkedHashMap<>();
        for (int i = 0; i <= rounds; i++) {
            for (String writer : WRITERS) {
                JSONObject run = run(writer);
                if (i > 0) { // the first round warms up
                    runsByWriter
                            .computeIfAbsent(writer, name -> new ArrayList<>())
                            .add(run);
                }
            }
        }
        JSONObject figures = new JSONObject();
        runsByWriter.forEach((writer, runs) -> figures.put(writer, medians(runs)));
        return figures.put("times_plain", ratio(runsByWriter, "store", "plain"))
                .put("bare_over_store", ratio(runsByWriter, "bare", "store"));
    }

    /** Returns the median of the ratios within each round, since the disk's speed varies between rounds. */
    private static double ratio(Map<String, List<JSONObject>> runsByWriter, String numerator, String denominator) {
        double[] ratios = new double[runsByWriter.get(numerator).size()];
        for (int i = 0; i < ratios.length; i++) {
            ratios[i] = runsByWriter.get(numerator).get(i).getDouble("writes_per_s")
                    / runsByWriter.get(denominator).get(i).getDouble("writes_per_s");
        }
        Arrays.sort(ratios);
        return ratios[ratios.length / 2];
    }

    private JSONObject run(String writerName) throws Exception {
        Files.createDirectories(folder);
        Histogram latency = new Histogram(3_600_000_000L, 3);
        run(writerName, 1, latency);
        double writes = run(writerName, MAX_GROUPS_IN_FLIGHT, new Histogram(3_600_000_000L, 3));
        return new JSONObject()
                .put("writes_per_s", writes)
                .put("p50_us", latency.getValueAtPercentile(50))
                .put("p99_us", latency.getValueAtPercentile(99));
    }

    /**
     * Returns writes per second. Records as latency, in microseconds, the time from the beginning of a group until
     * fewer than {@code inFlight} groups are pending.
     */
    private double run(String writerName, int inFlight, Histogram latency) throws Exception {
        byte[] value = new byte[100];
        long writes = 0;
        long timeNanos;
        ArrayDeque<CountDownLatch> pending = new ArrayDeque<>();
        try (GroupWriter writer = open(writerName, folder.resolve(writerName + "-" + serial++))) {
            timeNanos = System.nanoTime();
            for (long nowNanos = timeNanos;
                    nowNanos - timeNanos < runMillis * 1_000_000;
                    nowNanos = System.nanoTime()) {
                byte[][] keys = new byte[groupSize][];
                for (int i = 0; i < groupSize; i++) {
                    keys[i] = key(writes++ % 200_000);
                }
                long groupBeginNanos = System.nanoTime();
                pending.add(writer.begin(keys, value));
                while (pending.size() >= inFlight) {
                    pending.poll().await();
                }
                latency.recordValue((System.nanoTime() - groupBeginNanos) / 1_000);
            }
            while (!pending.isEmpty()) {
                pending.poll().await();
            }
            timeNanos = System.nanoTime() - timeNanos;
        }
        return writes * 1e9 / timeNanos;
    }

    private GroupWriter open(String writerName, Path path) throws IOException {
        return switch (writerName) {
            case "bare" -> GroupWriter.bare(path);
            case "store" -> GroupWriter.store(path, STORE_SETTINGS.withQueue(100_000, 64 << 20, groupSize));
            default -> GroupWriter.plain(path);
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

package wheatspread.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.agrona.collections.Long2ObjectHashMap;
import org.json.JSONObject;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wheatspread.disk.FolderDisk;
import wheatspread.lab.report.Report;
import wheatspread.lab.standins.TemporaryFolders;
import wheatspread.lab.store.StoreRuns;
import wheatspread.logging.EventLog;
import wheatspread.store.Index;
import wheatspread.store.Store;
import wheatspread.store.StoreSettings;

/** Measures durable writes, memory, recovery and compaction of the store, against a plain log and bare appends. */
@Command(
        name = "store",
        mixinStandardHelpOptions = true,
        description = "Measures the store on the disk of a folder, against a plain log with a map and bare appends.")
final class StoreMeasurementCommand implements Callable<Integer> {
    private static final StoreSettings LARGE_STORE = StoreSettings.DEFAULT
            .withSizes(32 << 20, 8L << 30, 1L << 34)
            .withCompaction(1L << 30, 0.999, 0)
            .withQueue(100_000, 256L << 20, 4_096);

    @Option(names = "--folder", defaultValue = "lab/target/store", description = "Folder on the disk to measure.")
    private Path folder;

    @Option(
            names = "--seconds",
            defaultValue = "2",
            description = "Duration of each run in seconds (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(
            names = "--rounds",
            defaultValue = "3",
            description = "Number of rounds, in each of which all writers run (${DEFAULT-VALUE}).")
    private int rounds;

    @Option(
            names = "--keys",
            defaultValue = "1000000",
            description = "Number of keys of the largest store (${DEFAULT-VALUE}).")
    private int keys;

    @Option(
            names = "--part",
            defaultValue = "all",
            description = "Part to measure: all, writes, memory, recovery or compaction (${DEFAULT-VALUE}).")
    private String part;

    @Option(names = "--out", defaultValue = "docs/measurements", description = "Folder of the report.")
    private Path out;

    private record Location(int file, int offset, int length, int expiry) {}

    @Override
    public Integer call() throws Exception {
        Report report = new Report(part.equals("all") ? "store" : "store-" + part);
        if (isSelected("writes")) {
            measureWrites(report);
        }
        if (isSelected("memory")) {
            report.put("memory", measureMemory());
            System.out.println("memory " + report.get("memory"));
        }
        if (isSelected("recovery")) {
            measureRecovery(report);
        }
        if (isSelected("compaction")) {
            report.put("compaction", measureCompaction());
            System.out.println("compaction " + report.get("compaction"));
        }
        report.write(out);
        TemporaryFolders.delete(folder);
        return 0;
    }

    private boolean isSelected(String name) {
        return part.equals("all") || part.equals(name);
    }

    /** Measures durable writes per second by the number of writes in a group. */
    private void measureWrites(Report report) throws Exception {
        Map<String, Map<String, Double>> bars = new LinkedHashMap<>();
        for (int group : new int[] {1, 8, 64, 512}) {
            JSONObject figures = new StoreRuns(folder, group, seconds * 1_000L).measureRounds(rounds);
            report.put("group of " + group, figures);
            System.out.println("group of " + group + " " + figures);
            for (String writer : StoreRuns.WRITERS) {
                bars.computeIfAbsent(writer, key -> new LinkedHashMap<>())
                        .put(
                                "group of " + group,
                                Math.log10(figures.getJSONObject(writer).getDouble("writes_per_s")));
            }
            TemporaryFolders.delete(folder);
        }
        Report.writeBarChart(
                out.resolve("store-writes.png"), "Durable writes per second", "log10 of writes per second", bars);
    }

    private static long heapBytes() {
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** Measures the heap per key of three maps from hash to location. */
    private JSONObject measureMemory() {
        JSONObject figures = new JSONObject().put("keys", keys);
        long[] hashes = new Random(1).longs(keys).toArray();
        long heapBefore = heapBytes();
        Index index = new Index();
        for (int i = 0; i < keys; i++) {
            index.add(hashes[i], Index.location(1, i), 100, i);
        }
        figures.put("index", (double) (heapBytes() - heapBefore) / index.size());
        index = null;
        heapBefore = heapBytes();
        Map<Long, Location> map = new HashMap<>();
        for (int i = 0; i < keys; i++) {
            map.put(hashes[i], new Location(1, i, 100, i));
        }
        figures.put("hash_map", (double) (heapBytes() - heapBefore) / map.size());
        map = null;
        heapBefore = heapBytes();
        Long2ObjectHashMap<Location> agrona = new Long2ObjectHashMap<>();
        for (int i = 0; i < keys; i++) {
            agrona.put(hashes[i], new Location(1, i, 100, i));
        }
        return figures.put("agrona", (double) (heapBytes() - heapBefore) / agrona.size());
    }

    /** Measures the time to open a store by its size, with and without a checkpoint. */
    private void measureRecovery(Report report) throws Exception {
        Map<String, double[]> lines = new LinkedHashMap<>();
        int steps = 10;
        for (String name : List.of("with a checkpoint, ms", "without, ms", "heap, MB")) {
            lines.put(name, new double[steps + 1]);
        }
        for (int i = 1; i <= steps; i++) {
            int size = keys / steps * i;
            TemporaryFolders.delete(folder);
            fill(size);
            JSONObject with = measureOpening(size);
            try (Stream<Path> files = Files.list(folder)) {
                for (Path file :
                        files.filter(f -> f.toString().endsWith(".checkpoint")).toList()) {
                    Files.delete(file);
                }
            }
            JSONObject without = measureOpening(size);
            JSONObject figures = new JSONObject()
                    .put("keys", size)
                    .put("with_checkpoint_ms", with.get("ms"))
                    .put("without_ms", without.get("ms"))
                    .put("heap_bytes_per_key", with.get("heap_bytes_per_key"));
            report.put("recovery of " + size, figures);
            System.out.println("recovery " + figures);
            lines.get("with a checkpoint, ms")[i] = with.getDouble("ms");
            lines.get("without, ms")[i] = without.getDouble("ms");
            lines.get("heap, MB")[i] = with.getDouble("heap_bytes_per_key") * size / 1e6;
        }
        Report.writeLineChart(
                out.resolve("store-recovery.png"), "Opening a store", "keys, in tenths of " + keys, "ms, MB", lines);
    }

    private void fill(int size) throws Exception {
        try (Store store = Store.open(
                FolderDisk.make(folder),
                LARGE_STORE.withSync(StoreSettings.Sync.NONE, 1_000),
                Store.Clock.SYSTEM,
                Runnable::run,
                EventLog.NONE)) {
            byte[] value = new byte[100];
            for (int from = 0; from < size; from += 10_000) {
                CountDownLatch held = new CountDownLatch(10_000);
                for (int i = from; i < from + 10_000; i++) {
                    store.put(StoreRuns.key(i), value, 0, (outcome, reason) -> held.countDown());
                }
                held.await();
            }
        }
    }

    /** Opens the store three times; returns the median time and the minimum heap per key. */
    private JSONObject measureOpening(int size) throws IOException {
        List<Double> openingMillis = new ArrayList<>();
        double heapBytesPerKey = Double.MAX_VALUE;
        for (int i = 0; i < 3; i++) {
            long heapBefore = heapBytes();
            long beganNanos = System.nanoTime();
            try (FolderStore opened = new FolderStore(folder)) {
                openingMillis.add((System.nanoTime() - beganNanos) / 1e6);
                heapBytesPerKey = Math.min(heapBytesPerKey, (double) (heapBytes() - heapBefore) / size);
                if (opened.store.stats().keys() != size) {
                    throw new IOException("store opened with "
                            + opened.store.stats().keys() + " keys; expected " + size + "; " + opened.store.stats());
                }
            }
        }
        openingMillis.sort(null);
        return new JSONObject().put("ms", openingMillis.get(1)).put("heap_bytes_per_key", heapBytesPerKey);
    }

    /** Opens a store and abandons it on close, which leaves the folder unchanged because nothing is written. */
    private static final class FolderStore implements AutoCloseable {
        private final Store store;

        FolderStore(Path folder) throws IOException {
            store = Store.open(
                    FolderDisk.make(folder),
                    LARGE_STORE.withSizes(32 << 20, 8L << 30, 1L << 40),
                    Store.Clock.SYSTEM,
                    Runnable::run,
                    EventLog.NONE);
        }

        @Override
        public void close() {
            store.abandon();
        }
    }

    /** Measures acknowledgement times at a steady rate of overwrites, alternately without and with compaction. */
    private JSONObject measureCompaction() throws Exception {
        Histogram without = new ConcurrentHistogram(60_000_000, 3);
        Histogram with = new ConcurrentHistogram(60_000_000, 3);
        long compactions = 0;
        for (int i = 0; i < rounds; i++) {
            measureSteadyWrites(LARGE_STORE, without);
            compactions += measureSteadyWrites(
                    StoreSettings.DEFAULT.withSizes(4 << 20, 64L << 20, 8 << 20).withCompaction(16L << 20, 0.3, 0),
                    with);
        }
        return new JSONObject()
                .put("compactions", compactions)
                .put("writes", with.getTotalCount())
                .put("p50_us", with.getValueAtPercentile(50))
                .put("p99_us", with.getValueAtPercentile(99))
                .put("without_p50_us", without.getValueAtPercentile(50))
                .put("without_p99_us", without.getValueAtPercentile(99))
                .put("p99_ratio", (double) with.getValueAtPercentile(99) / without.getValueAtPercentile(99));
    }

    private long measureSteadyWrites(StoreSettings settings, Histogram latenciesMicros) throws Exception {
        TemporaryFolders.delete(folder);
        Random random = new Random(1);
        byte[] value = new byte[400];
        try (Store store =
                Store.open(FolderDisk.make(folder), settings, Store.Clock.SYSTEM, Runnable::run, EventLog.NONE)) {
            long beganNanos = System.nanoTime();
            long nextNanos = beganNanos;
            while (nextNanos - beganNanos < 4_000_000_000L * seconds) {
                for (int i = 0; i < 10; i++) {
                    long dueNanos = nextNanos;
                    store.put(
                            StoreRuns.key(random.nextInt(20_000)),
                            value,
                            0,
                            (outcome, reason) ->
                                    latenciesMicros.recordValue(Math.max(0, (System.nanoTime() - dueNanos) / 1_000)));
                }
                nextNanos += 1_000_000; // 10,000 writes per second
                LockSupport.parkNanos(nextNanos - System.nanoTime());
            }
            return store.stats().counters().compactions();
        }
    }
}

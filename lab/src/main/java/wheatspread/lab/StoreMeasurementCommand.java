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

/** The store beside a plain log and the bare disk: durable writes, memory, recovery, compaction. */
@Command(
        name = "store",
        mixinStandardHelpOptions = true,
        description = "Measures the store on a folder's disk, beside a plain log with a map and bare appends.")
final class StoreMeasurementCommand implements Callable<Integer> {
    private static final StoreSettings LARGE = StoreSettings.DEFAULT
            .withSizes(32 << 20, 8L << 30, 1L << 34)
            .withCompaction(1L << 30, 0.999, 0)
            .withQueue(100_000, 256L << 20, 4_096);

    @Option(names = "--folder", defaultValue = "lab/target/store", description = "On the disk to measure.")
    private Path folder;

    @Option(names = "--seconds", defaultValue = "2", description = "Of each run (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--rounds", defaultValue = "3", description = "Of the writers in turns (${DEFAULT-VALUE}).")
    private int rounds;

    @Option(names = "--keys", defaultValue = "1000000", description = "The largest store (${DEFAULT-VALUE}).")
    private int keys;

    @Option(
            names = "--part",
            defaultValue = "all",
            description = "all, writes, memory, recovery or compaction (${DEFAULT-VALUE}).")
    private String part;

    @Option(names = "--out", defaultValue = "docs/measurements", description = "Where the report goes.")
    private Path out;

    private record Place(int file, int offset, int length, int expiry) {}

    @Override
    public Integer call() throws Exception {
        Report report = new Report(part.equals("all") ? "store" : "store-" + part);
        if (does("writes")) {
            writes(report);
        }
        if (does("memory")) {
            report.put("memory", memory());
            System.out.println("memory " + report.get("memory"));
        }
        if (does("recovery")) {
            recovery(report);
        }
        if (does("compaction")) {
            report.put("compaction", compaction());
            System.out.println("compaction " + report.get("compaction"));
        }
        report.write(out);
        TemporaryFolders.delete(folder);
        return 0;
    }

    private boolean does(String one) {
        return part.equals("all") || part.equals(one);
    }

    /** Durable writes a second by size of the group. */
    private void writes(Report report) throws Exception {
        Map<String, Map<String, Double>> bars = new LinkedHashMap<>();
        for (int group : new int[] {1, 8, 64, 512}) {
            JSONObject figures = new StoreRuns(folder, group, seconds * 1_000L).measureRounds(rounds);
            report.put("group of " + group, figures);
            System.out.println("group of " + group + " " + figures);
            for (String one : StoreRuns.WRITERS) {
                bars.computeIfAbsent(one, w -> new LinkedHashMap<>())
                        .put(
                                "group of " + group,
                                Math.log10(figures.getJSONObject(one).getDouble("writes_per_s")));
            }
            TemporaryFolders.delete(folder);
        }
        Report.bars(out.resolve("store-writes.png"), "Durable writes a second", "log10 of writes a second", bars);
    }

    private static long heap() {
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** Heap for each key of what holds hash and place. */
    private JSONObject memory() {
        JSONObject figures = new JSONObject().put("keys", keys);
        long[] hashes = new Random(1).longs(keys).toArray();
        long before = heap();
        Index index = new Index();
        for (int i = 0; i < keys; i++) {
            index.add(hashes[i], Index.location(1, i), 100, i);
        }
        figures.put("index", (double) (heap() - before) / index.size());
        index = null;
        before = heap();
        Map<Long, Place> map = new HashMap<>();
        for (int i = 0; i < keys; i++) {
            map.put(hashes[i], new Place(1, i, 100, i));
        }
        figures.put("hash_map", (double) (heap() - before) / map.size());
        map = null;
        before = heap();
        Long2ObjectHashMap<Place> agrona = new Long2ObjectHashMap<>();
        for (int i = 0; i < keys; i++) {
            agrona.put(hashes[i], new Place(1, i, 100, i));
        }
        return figures.put("agrona", (double) (heap() - before) / agrona.size());
    }

    /** How long it takes to open a store, by its size, with and without a checkpoint. */
    private void recovery(Report report) throws Exception {
        Map<String, double[]> lines = new LinkedHashMap<>();
        int steps = 10;
        for (String name : List.of("with a checkpoint, ms", "without, ms", "heap, MB")) {
            lines.put(name, new double[steps + 1]);
        }
        for (int i = 1; i <= steps; i++) {
            int size = keys / steps * i;
            TemporaryFolders.delete(folder);
            fill(size);
            JSONObject with = open(size);
            try (Stream<Path> files = Files.list(folder)) {
                for (Path file :
                        files.filter(f -> f.toString().endsWith(".checkpoint")).toList()) {
                    Files.delete(file);
                }
            }
            JSONObject without = open(size);
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
        Report.lines(
                out.resolve("store-recovery.png"), "Opening a store", "keys, in tenths of " + keys, "ms, MB", lines);
    }

    private void fill(int size) throws Exception {
        try (Store store = Store.open(
                FolderDisk.make(folder),
                LARGE.withSync(StoreSettings.Sync.NONE, 1_000),
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

    /** The median of three, and the least that it was seen to keep on the heap. */
    private JSONObject open(int size) throws IOException {
        List<Double> times = new ArrayList<>();
        double heap = Double.MAX_VALUE;
        for (int i = 0; i < 3; i++) {
            long before = heap();
            long begun = System.nanoTime();
            try (FolderStore opened = new FolderStore(folder)) {
                times.add((System.nanoTime() - begun) / 1e6);
                heap = Math.min(heap, (double) (heap() - before) / size);
                if (opened.store.stats().keys() != size) {
                    throw new IOException("keys are missing: " + opened.store.stats());
                }
            }
        }
        times.sort(null);
        return new JSONObject().put("ms", times.get(1)).put("heap_bytes_per_key", heap);
    }

    /** A store whose end leaves the folder as it was, since nothing is written. */
    private static final class FolderStore implements AutoCloseable {
        private final Store store;

        FolderStore(Path folder) throws IOException {
            store = Store.open(
                    FolderDisk.make(folder),
                    LARGE.withSizes(32 << 20, 8L << 30, 1L << 40),
                    Store.Clock.SYSTEM,
                    Runnable::run,
                    EventLog.NONE);
        }

        @Override
        public void close() {
            store.abandon();
        }
    }

    /** Acknowledgements at a steady rate of overwrites, with and without compaction, in turns. */
    private JSONObject compaction() throws Exception {
        Histogram without = new ConcurrentHistogram(60_000_000, 3);
        Histogram with = new ConcurrentHistogram(60_000_000, 3);
        long compactions = 0;
        for (int i = 0; i < rounds; i++) {
            steady(LARGE, without);
            compactions += steady(
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

    private long steady(StoreSettings settings, Histogram to) throws Exception {
        TemporaryFolders.delete(folder);
        Random random = new Random(1);
        byte[] value = new byte[400];
        try (Store store =
                Store.open(FolderDisk.make(folder), settings, Store.Clock.SYSTEM, Runnable::run, EventLog.NONE)) {
            long begun = System.nanoTime();
            long next = begun;
            while (next - begun < 4_000_000_000L * seconds) {
                for (int i = 0; i < 10; i++) {
                    long due = next;
                    store.put(
                            StoreRuns.key(random.nextInt(20_000)),
                            value,
                            0,
                            (outcome, reason) -> to.recordValue(Math.max(0, (System.nanoTime() - due) / 1_000)));
                }
                next += 1_000_000; // 10,000 writes a second
                LockSupport.parkNanos(next - System.nanoTime());
            }
            return store.stats().counters().compactions();
        }
    }
}

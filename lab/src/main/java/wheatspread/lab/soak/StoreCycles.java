package wheatspread.lab.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import wheatspread.disk.FolderDisk;
import wheatspread.lab.standins.TemporaryFolders;
import wheatspread.logging.EventLog;
import wheatspread.store.Store;
import wheatspread.store.StoreSettings;

/**
 * Writes to a store that is closed, or abandoned as by a crash of the process, and opened again, in drawn cycles. After
 * each opening every key has the newest acknowledged value, or that of a write whose outcome is unknown.
 */
final class StoreCycles implements Callable<List<String>> {
    private static final int CYCLES = 12;
    private static final int KEYS = 20;
    private static final int MAX_WRITES = 400;
    private static final long OUTCOME_TIMEOUT_MS = 10_000;
    private static final StoreSettings SETTINGS =
            StoreSettings.DEFAULT.withSizes(1_024, 1 << 20, 2_048).withCompaction(1 << 20, 0.3, 0);

    private final Random random;
    private final boolean losesWrite;
    private final Map<String, String> acknowledged = new ConcurrentHashMap<>();
    /** The values of each key that may be there instead, since their writes had no outcome before an abandonment. */
    private final Map<String, List<String>> possible = new HashMap<>();

    private final List<String> violations = new ArrayList<>();

    /** The seed draws the cycles; {@code losesWrite} plants the loss of an acknowledged write. */
    StoreCycles(long seed, boolean losesWrite) {
        random = new Random(seed);
        this.losesWrite = losesWrite;
    }

    /** Runs all cycles and returns the violations. */
    @Override
    public List<String> call() throws Exception {
        Path folder = Files.createTempDirectory("wheatspread-soak-store");
        try {
            FolderDisk.make(folder);
            for (int cycle = 0; cycle < CYCLES; cycle++) {
                run(folder, cycle);
            }
        } finally {
            TemporaryFolders.delete(folder);
        }
        return violations;
    }

    private void run(Path folder, int cycle) throws Exception {
        List<String> events = java.util.Collections.synchronizedList(new ArrayList<>());
        Store store = Store.open(
                FolderDisk.of(folder), SETTINGS, Store.Clock.SYSTEM, Runnable::run, EventLog.lines(events::add));
        verify(store, cycle);
        List<CompletableFuture<Store.Outcome>> outcomes = write(store, cycle);
        if (random.nextBoolean()) {
            store.abandon();
        } else {
            for (CompletableFuture<Store.Outcome> outcome : outcomes) {
                outcome.get(OUTCOME_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            }
            store.close();
            possible.clear();
        }
        events.stream()
                .filter(line -> line.contains("store_fault") || line.contains("store_damage"))
                .forEach(line -> violations.add("store: " + line));
    }

    private List<CompletableFuture<Store.Outcome>> write(Store store, int cycle) {
        List<CompletableFuture<Store.Outcome>> outcomes = new ArrayList<>();
        for (int i = 1 + random.nextInt(MAX_WRITES); i > 0; i--) {
            String key = "key " + random.nextInt(KEYS);
            String value = "cycle " + cycle + " write " + i;
            possible.computeIfAbsent(key, k -> new ArrayList<>()).add(value);
            CompletableFuture<Store.Outcome> outcome = new CompletableFuture<>();
            Store.Rejection rejection = store.put(bytes(key), bytes(value), 0, (result, reason) -> {
                if (result == Store.Outcome.HELD) {
                    acknowledged.put(key, value);
                }
                outcome.complete(result);
            });
            if (rejection == null) {
                outcomes.add(outcome);
            }
        }
        return outcomes;
    }

    private void verify(Store store, int cycle) throws Exception {
        if (losesWrite && cycle == CYCLES - 1) {
            acknowledged.replaceAll((key, value) -> "planted");
            possible.clear();
        }
        for (int i = 0; i < KEYS; i++) {
            String key = "key " + i;
            String value = read(store, key);
            String expected = acknowledged.get(key);
            // later values than the acknowledged one are allowed where the store was abandoned, earlier ones are not
            List<String> allowed = possible.getOrDefault(key, new ArrayList<>());
            List<String> newer = allowed.subList(allowed.indexOf(expected) + 1, allowed.size());
            if (!java.util.Objects.equals(value, expected) && !newer.contains(value)) {
                violations.add("lost_write: cycle " + cycle + ", " + key + " is " + value + " in place of " + expected);
            }
            if (value != null) {
                acknowledged.put(key, value);
            }
        }
        possible.clear();
    }

    private static String read(Store store, String key) throws Exception {
        CompletableFuture<Store.ReadResult> result = new CompletableFuture<>();
        if (store.get(bytes(key), result::complete) != null) {
            throw new IOException("the store rejected a read");
        }
        try {
            byte[] value = result.get(OUTCOME_TIMEOUT_MS, TimeUnit.MILLISECONDS).value();
            return value == null ? null : new String(value, StandardCharsets.UTF_8);
        } catch (TimeoutException e) {
            return "no answer";
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}

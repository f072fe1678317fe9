package wheatspread.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import wheatspread.logging.EventLog;

/**
 * Runs a store without threads on a faulty disk, together with a model of its content: for each key the acknowledged
 * value, and the values that the key may have instead after a crash.
 */
final class StoreHarness {
    /** The absence of a value. */
    private static final StoredValue ABSENT = new StoredValue(null, 0);

    private record StoredValue(String value, long expiresMs) {
        StoredValue asOf(long nowMillis) {
            return value == null || expiresMs != 0 && expiresMs <= nowMillis ? ABSENT : this;
        }
    }

    final StoreSettings settings;
    FaultyDisk disk;
    LogStructuredStore log;
    long nowMillis = 1_000_000;
    final List<String> events = new ArrayList<>();
    private final Map<String, StoredValue> acknowledged = new TreeMap<>();
    private final Map<String, List<StoredValue>> possible = new TreeMap<>();
    private final Random random = new Random(5);
    /** Draws the writes and restarts between the steps of a job; null for neither. */
    Random interleaving;

    int heldWrites;
    int refusedWrites;
    int uncertainWrites;

    StoreHarness(StoreSettings settings, long seed) {
        this.settings = settings;
        disk = new FaultyDisk(seed);
    }

    static StoreSettings smallSettings() {
        return StoreSettings.DEFAULT.withSizes(1_024, 64 << 10, 2_048).withCompaction(1 << 20, 0.3, 0);
    }

    void open() throws IOException {
        log = LogStructuredStore.open(
                disk, settings, EventLog.lines(events::add), random::nextLong, nowMillis, Recovery.Purpose.READ_WRITE);
    }

    private Write write(String key, String value, long expires) {
        return new Write(bytes(key), value == null ? null : bytes(value), expires, null);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Commits triples of key, value and expiry (milliseconds from now, 0 for never) as a group. A null value deletes
     * the key.
     */
    void commitGroup(Object... triples) {
        List<Write> group = new ArrayList<>();
        for (int i = 0; i < triples.length; i += 3) {
            long expires = (int) triples[i + 2] == 0 ? 0 : nowMillis + (int) triples[i + 2];
            group.add(write((String) triples[i], (String) triples[i + 1], expires));
            possible.computeIfAbsent((String) triples[i], k -> new ArrayList<>())
                    .add(new StoredValue((String) triples[i + 1], expires));
        }
        log.commit(group, nowMillis); // if the disk crashes here, each of the writes stays possible
        for (int i = 0; i < triples.length; i += 3) {
            Write write = group.get(i / 3);
            String key = (String) triples[i];
            StoredValue written = new StoredValue((String) triples[i + 1], write.expiresMillis());
            switch (write.outcome()) {
                case HELD -> {
                    heldWrites++;
                    acknowledged.put(key, written);
                    possible.remove(key); // this write supersedes earlier writes in doubt
                }
                case REFUSED -> {
                    refusedWrites++;
                    possible.get(key).remove(written);
                }
                default -> uncertainWrites++;
            }
        }
    }

    /** Advances the time by {@code ms} and 70 ticks of 10 ms, and runs the jobs that are due. */
    void advance(int ms) throws IOException {
        nowMillis += ms;
        for (int i = 0; i < 70; i++) {
            log.tick(nowMillis);
            nowMillis += 10;
        }
        runJobs();
    }

    void runJobs() throws IOException {
        for (int i = 0; i < 20; i++) {
            MaintenanceJob job = log.startNextJob(nowMillis);
            if (job == null) {
                return;
            }
            run(job);
        }
    }

    void run(MaintenanceJob job) throws IOException {
        try {
            while (job.step()) {
                if (interleaving != null && runInterleaved()) {
                    return;
                }
            }
            log.markJobDone(nowMillis);
            while (log.isBusy()) {
                log.install();
            }
        } catch (IOException e) {
            log.markJobFailed(e, nowMillis);
        }
    }

    /** Runs what happens between two steps of a job; returns whether the store was closed and opened meanwhile. */
    private boolean runInterleaved() throws IOException {
        if (interleaving.nextInt(100) == 0) {
            reopen();
            return true;
        }
        if (interleaving.nextInt(4) == 0) {
            commitGroup(key(interleaving), value(interleaving, heldWrites), 0);
        }
        return false;
    }

    /** Closes the store, which cancels its job, and opens it again. */
    void reopen() throws IOException {
        log.finish(nowMillis);
        log.close();
        open();
    }

    /**
     * Returns a harness whose store is not open yet, on a copy of the disk with the content that a crash at this point
     * leaves.
     */
    StoreHarness afterCrash(FaultyDisk.Unsynced how, long seed) {
        StoreHarness restarted = new StoreHarness(settings, seed);
        restarted.disk = disk.restarted(how, seed);
        restarted.nowMillis = nowMillis;
        restarted.acknowledged.putAll(acknowledged);
        possible.forEach((key, values) -> restarted.possible.put(key, new ArrayList<>(values)));
        return restarted;
    }

    /** Simulates a crash and opens the store again on the remaining disk content. */
    void restart(FaultyDisk.Unsynced how, long seed) throws IOException {
        disk = disk.restarted(how, seed);
        open();
    }

    /** Asserts that every key has its acknowledged value, or after a crash one of its possible values. */
    void assertExpectedValues(boolean afterCrash) throws IOException {
        for (String key : keys()) {
            Store.ReadResult result = log.get(bytes(key), nowMillis);
            assertThat(result.kind()).as(key).isIn(Store.ReadResult.Kind.VALUE, Store.ReadResult.Kind.ABSENT);
            StoredValue actual = result.value() == null
                    ? ABSENT
                    : new StoredValue(new String(result.value(), StandardCharsets.UTF_8), result.expiresMillis());
            List<StoredValue> allowed = new ArrayList<>(
                    List.of(acknowledged.getOrDefault(key, ABSENT).asOf(nowMillis)));
            if (afterCrash) {
                possible.getOrDefault(key, List.of()).forEach(value -> allowed.add(value.asOf(nowMillis)));
            }
            assertThat(actual).as(key).isIn(allowed);
            if (afterCrash) {
                acknowledged.put(key, actual);
            }
        }
        if (afterCrash) {
            possible.clear();
        }
    }

    /** Asserts that every key of a damaged store has its newest value or is doubtful. */
    void assertNoWrongValues(boolean lossAllowed) throws IOException {
        for (String key : keys()) {
            Store.ReadResult result = log.get(bytes(key), nowMillis);
            StoredValue expected = acknowledged.getOrDefault(key, ABSENT).asOf(nowMillis);
            if (result.kind() == Store.ReadResult.Kind.VALUE) {
                if (!lossAllowed) {
                    assertThat(new String(result.value(), StandardCharsets.UTF_8))
                            .as(key)
                            .isEqualTo(expected.value());
                }
            } else if (result.kind() == Store.ReadResult.Kind.ABSENT && !lossAllowed) {
                assertThat(expected).as(key).isEqualTo(ABSENT);
            }
        }
    }

    List<String> keys() {
        List<String> keys = new ArrayList<>(acknowledged.keySet());
        possible.keySet().stream().filter(key -> !acknowledged.containsKey(key)).forEach(keys::add);
        keys.add("never written");
        return keys;
    }

    /** Opens the store and runs a history of writes, overwrites, deletions, expiries, maintenance and restarts. */
    void runHistory(Random choices, int actions) throws IOException {
        open();
        runActions(choices, actions);
    }

    /** Runs random actions on an open store. */
    void runActions(Random choices, int actions) throws IOException {
        for (int i = 0; i < actions; i++) {
            switch (choices.nextInt(8)) {
                case 0, 1 -> commitGroup(key(choices), value(choices, i), 0);
                case 2 -> commitGroup(key(choices), value(choices, i), 1 + choices.nextInt(4_000));
                case 3 ->
                    commitGroup(
                            key(choices),
                            value(choices, i),
                            0,
                            key(choices),
                            value(choices, i),
                            2_000,
                            key(choices),
                            null,
                            0);
                case 4 -> commitGroup(key(choices), null, 0);
                case 5 -> advance(choices.nextInt(1_500));
                case 6 -> runJobs();
                default -> {
                    if (choices.nextInt(6) == 0) {
                        reopen();
                    }
                }
            }
        }
    }

    static String key(Random choices) {
        return "key " + choices.nextInt(25);
    }

    static String value(Random choices, int actionNumber) {
        return "v" + actionNumber + "-" + "x".repeat(choices.nextInt(90));
    }
}

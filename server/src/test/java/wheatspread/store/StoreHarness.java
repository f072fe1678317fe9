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
 * A store without threads on a faulty disk, beside a map that says what it must hold: for each key the
 * value that is certain, and those that a crash may bring.
 */
final class StoreHarness {
    /** No value. */
    private static final StoredValue NOTHING = new StoredValue(null, 0);

    private record StoredValue(String value, long expiresMs) {
        StoredValue at(long now) {
            return value == null || expiresMs != 0 && expiresMs <= now ? NOTHING : this;
        }
    }

    final StoreSettings settings;
    FaultyDisk disk;
    LogStructuredStore log;
    long nowMillis = 1_000_000;
    final List<String> events = new ArrayList<>();
    private final Map<String, StoredValue> certain = new TreeMap<>();
    private final Map<String, List<StoredValue>> possible = new TreeMap<>();
    private final Random random = new Random(5);
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
     * Commits triples of key, value and expiry (milliseconds from now, 0 for never) as one group; a null value
     * deletes.
     */
    void commitGroup(Object... triples) {
        List<Write> group = new ArrayList<>();
        for (int i = 0; i < triples.length; i += 3) {
            long expires = (int) triples[i + 2] == 0 ? 0 : nowMillis + (int) triples[i + 2];
            group.add(write((String) triples[i], (String) triples[i + 1], expires));
            possible.computeIfAbsent((String) triples[i], k -> new ArrayList<>())
                    .add(new StoredValue((String) triples[i + 1], expires));
        }
        log.commit(group, nowMillis); // a crash leaves all of them possible
        for (int i = 0; i < triples.length; i += 3) {
            Write write = group.get(i / 3);
            String key = (String) triples[i];
            StoredValue what = new StoredValue((String) triples[i + 1], write.expiresMillis());
            switch (write.outcome()) {
                case HELD -> {
                    heldWrites++;
                    certain.put(key, what);
                    possible.remove(key); // a failed one before it is void
                }
                case REFUSED -> {
                    refusedWrites++;
                    possible.get(key).remove(what);
                }
                default -> uncertainWrites++;
            }
        }
    }

    /** Advances the time, with the ticks and the jobs that are due. */
    void advance(int ms) {
        nowMillis += ms;
        for (int i = 0; i < 70; i++) {
            log.tick(nowMillis);
            nowMillis += 10;
        }
        runJobs();
    }

    void runJobs() {
        for (int i = 0; i < 20; i++) {
            MaintenanceJob job = log.nextJob(nowMillis);
            if (job == null) {
                return;
            }
            run(job);
        }
    }

    void run(MaintenanceJob job) {
        try {
            while (job.step()) {
                continue;
            }
            log.jobDone();
            while (log.isBusy()) {
                log.install();
            }
        } catch (IOException e) {
            log.jobFailed(e, nowMillis);
        }
    }

    /** Another harness on the disk as a crash at this moment would leave it. */
    StoreHarness afterCrash(FaultyDisk.Unsynced how, long seed) {
        StoreHarness other = new StoreHarness(settings, seed);
        other.disk = disk.restarted(how, seed);
        other.nowMillis = nowMillis;
        other.certain.putAll(certain);
        possible.forEach((key, values) -> other.possible.put(key, new ArrayList<>(values)));
        return other;
    }

    /** Ends the process and starts another one on what the disk kept. */
    void restart(FaultyDisk.Unsynced how, long seed) throws IOException {
        disk = disk.restarted(how, seed);
        open();
    }

    /** Looks up every key: what is certain must be there, or what a crash may have left in its place. */
    void assertExpectedValues(boolean afterCrash) throws IOException {
        for (String key : keys()) {
            Store.ReadResult got = log.get(bytes(key), nowMillis);
            assertThat(got.kind()).as(key).isIn(Store.ReadResult.Kind.VALUE, Store.ReadResult.Kind.ABSENT);
            StoredValue there = got.value() == null
                    ? NOTHING
                    : new StoredValue(new String(got.value(), StandardCharsets.UTF_8), got.expiresMillis());
            List<StoredValue> allowed =
                    new ArrayList<>(List.of(certain.getOrDefault(key, NOTHING).at(nowMillis)));
            if (afterCrash) {
                possible.getOrDefault(key, List.of()).forEach(one -> allowed.add(one.at(nowMillis)));
            }
            assertThat(there).as(key).isIn(allowed);
            if (afterCrash) {
                certain.put(key, there);
            }
        }
        if (afterCrash) {
            possible.clear();
        }
    }

    /** Looks up every key of a damaged store: the newest value or a doubt, but never another value. */
    void assertNoWrongValues(boolean lossAllowed) throws IOException {
        for (String key : keys()) {
            Store.ReadResult got = log.get(bytes(key), nowMillis);
            StoredValue must = certain.getOrDefault(key, NOTHING).at(nowMillis);
            if (got.kind() == Store.ReadResult.Kind.VALUE) {
                if (!lossAllowed) {
                    assertThat(new String(got.value(), StandardCharsets.UTF_8))
                            .as(key)
                            .isEqualTo(must.value());
                }
            } else if (got.kind() == Store.ReadResult.Kind.ABSENT && !lossAllowed) {
                assertThat(must).as(key).isEqualTo(NOTHING);
            }
        }
    }

    List<String> keys() {
        List<String> keys = new ArrayList<>(certain.keySet());
        possible.keySet().stream().filter(key -> !certain.containsKey(key)).forEach(keys::add);
        keys.add("never written");
        return keys;
    }

    /** A recorded history: writes, overwrites, deletions, expiries, checkpoints, compactions, restarts. */
    void runHistory(Random choices, int actions) throws IOException {
        open();
        runActions(choices, actions);
    }

    /** The same on a store that is open. */
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
                        log.finish(nowMillis);
                        log.close();
                        open();
                    }
                }
            }
        }
    }

    static String key(Random choices) {
        return "key " + choices.nextInt(25);
    }

    static String value(Random choices, int turn) {
        return "v" + turn + "-" + "x".repeat(choices.nextInt(90));
    }
}

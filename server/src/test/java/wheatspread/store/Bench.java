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
final class Bench {
    /** No value. */
    private static final Held NOTHING = new Held(null, 0);

    private record Held(String value, long expiresMs) {
        Held at(long now) {
            return value == null || expiresMs != 0 && expiresMs <= now ? NOTHING : this;
        }
    }

    final StoreSettings settings;
    FaultyDisk disk;
    Log log;
    long now = 1_000_000;
    final List<String> events = new ArrayList<>();
    private final Map<String, Held> certain = new TreeMap<>();
    private final Map<String, List<Held>> possible = new TreeMap<>();
    private final Random random = new Random(5);
    int held;
    int refused;
    int inDoubt;

    Bench(StoreSettings settings, long seed) {
        this.settings = settings;
        disk = new FaultyDisk(seed);
    }

    static StoreSettings small() {
        return StoreSettings.DEFAULT.withSizes(1_024, 64 << 10, 2_048).withCompaction(1 << 20, 0.3, 0);
    }

    void open() throws IOException {
        log = Log.open(disk, settings, EventLog.lines(events::add), random::nextLong, now, Recovery.Purpose.WORK);
    }

    private Write write(String key, String value, long expires) {
        return new Write(bytes(key), value == null ? null : bytes(value), expires, null);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Commits key, value and expiry in turns as one group; a null value deletes. */
    void commit(Object... turns) {
        List<Write> group = new ArrayList<>();
        for (int i = 0; i < turns.length; i += 3) {
            long expires = (int) turns[i + 2] == 0 ? 0 : now + (int) turns[i + 2];
            group.add(write((String) turns[i], (String) turns[i + 1], expires));
            possible.computeIfAbsent((String) turns[i], k -> new ArrayList<>())
                    .add(new Held((String) turns[i + 1], expires));
        }
        log.commit(group, now); // a crash leaves all of them possible
        for (int i = 0; i < turns.length; i += 3) {
            Write write = group.get(i / 3);
            String key = (String) turns[i];
            Held what = new Held((String) turns[i + 1], write.expiresMs);
            switch (write.outcome) {
                case HELD -> {
                    held++;
                    certain.put(key, what);
                    possible.remove(key); // a failed one before it is void
                }
                case REFUSED -> {
                    refused++;
                    possible.get(key).remove(what);
                }
                default -> inDoubt++;
            }
        }
    }

    /** Lets time pass, with the upkeep and the jobs that are due. */
    void pass(int ms) {
        now += ms;
        for (int i = 0; i < 70; i++) {
            log.tick(now);
            now += 10;
        }
        jobs();
    }

    void jobs() {
        for (int i = 0; i < 20; i++) {
            MaintenanceJob job = log.nextJob(now);
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
            log.jobFailed(e, now);
        }
    }

    /** Another bench that finds what a crash would leave right now. */
    Bench crashedHere(FaultyDisk.Unsynced how, long seed) {
        Bench other = new Bench(settings, seed);
        other.disk = disk.restarted(how, seed);
        other.now = now;
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
    void check(boolean afterCrash) throws IOException {
        for (String key : keys()) {
            Store.Got got = log.get(bytes(key), now);
            assertThat(got.kind()).as(key).isIn(Store.Got.Kind.VALUE, Store.Got.Kind.ABSENT);
            Held there = got.value() == null
                    ? NOTHING
                    : new Held(new String(got.value(), StandardCharsets.UTF_8), got.expiresMs());
            List<Held> allowed =
                    new ArrayList<>(List.of(certain.getOrDefault(key, NOTHING).at(now)));
            if (afterCrash) {
                possible.getOrDefault(key, List.of()).forEach(one -> allowed.add(one.at(now)));
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
    void checkDamaged(boolean lossAllowed) throws IOException {
        for (String key : keys()) {
            Store.Got got = log.get(bytes(key), now);
            Held must = certain.getOrDefault(key, NOTHING).at(now);
            if (got.kind() == Store.Got.Kind.VALUE) {
                if (!lossAllowed) {
                    assertThat(new String(got.value(), StandardCharsets.UTF_8))
                            .as(key)
                            .isEqualTo(must.value());
                }
            } else if (got.kind() == Store.Got.Kind.ABSENT && !lossAllowed) {
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
    void history(Random choices, int turns) throws IOException {
        open();
        turns(choices, turns);
    }

    /** The same on a store that is open. */
    void turns(Random choices, int turns) throws IOException {
        for (int i = 0; i < turns; i++) {
            switch (choices.nextInt(8)) {
                case 0, 1 -> commit(key(choices), value(choices, i), 0);
                case 2 -> commit(key(choices), value(choices, i), 1 + choices.nextInt(4_000));
                case 3 ->
                    commit(
                            key(choices),
                            value(choices, i),
                            0,
                            key(choices),
                            value(choices, i),
                            2_000,
                            key(choices),
                            null,
                            0);
                case 4 -> commit(key(choices), null, 0);
                case 5 -> pass(choices.nextInt(1_500));
                case 6 -> jobs();
                default -> {
                    if (choices.nextInt(6) == 0) {
                        log.finish(now);
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

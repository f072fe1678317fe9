package wheatspread.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import wheatspread.disk.Disk;

/** A crash or a failure at every place of a recorded history. */
class CrashTest {
    private static final int TURNS = 130;
    private static final long HISTORY = 11;

    private static Bench whole() throws IOException {
        Bench bench = new Bench(Bench.small(), 1);
        bench.history(new Random(HISTORY), TURNS);
        return bench;
    }

    @FunctionalInterface
    private interface Check {
        void of(int place) throws IOException;
    }

    /** Counts the places it is called at. */
    private static Runnable each(Check check) {
        int[] place = new int[1];
        return () -> {
            try {
                check.of(place[0]++);
            } catch (IOException e) {
                throw new AssertionError("at place " + place[0], e);
            }
        };
    }

    private static Bench recovered(Bench at, FaultyDisk.Unsynced how, long seed) throws IOException {
        Bench other = at.crashedHere(how, seed);
        other.open();
        other.check(true);
        return other;
    }

    /** What was found goes on to be a store: it takes writes, and holds them after another crash. */
    private static void goesOn(Bench bench, long seed) throws IOException {
        recovered(bench, FaultyDisk.Unsynced.REORDERED, seed); // what was read is there for good
        bench.turns(new Random(seed), 12);
        bench.check(false);
        bench.restart(FaultyDisk.Unsynced.LOST, seed);
        bench.check(true);
        assertThat(bench.events)
                .noneMatch(line -> line.startsWith("store_damage") || line.startsWith("store_file_lost"));
    }

    @Test
    void theHistoryHasItAll() throws IOException {
        Bench bench = whole();
        bench.check(false);
        assertThat(bench.refused + bench.inDoubt).isZero();
        assertThat(bench.events)
                .anyMatch(line -> line.startsWith("store_compacted"))
                .anyMatch(line -> line.startsWith("store_checkpoint"));
        assertThat(bench.log.stats().counters().expired()).isPositive();
    }

    @Test
    void aCutAtEveryByteLeavesWhatWasAcknowledged() throws IOException {
        Bench bench = new Bench(Bench.small(), 1);
        bench.disk.atByte = each(place -> {
            recovered(bench, FaultyDisk.Unsynced.KEPT, place);
            recovered(bench, FaultyDisk.Unsynced.REORDERED, place);
        });
        bench.history(new Random(HISTORY), TURNS);
        assertThat(bench.disk.appended).isGreaterThan(8_000);
    }

    @ParameterizedTest
    @EnumSource
    void aCrashAtEveryStepLeavesWhatWasAcknowledged(FaultyDisk.Unsynced how) throws IOException {
        Bench bench = new Bench(Bench.small(), 1);
        int seeds = how == FaultyDisk.Unsynced.REORDERED || how == FaultyDisk.Unsynced.PROCESS ? 4 : 1;
        bench.disk.atStep = each(place -> {
            for (int seed = 0; seed < seeds; seed++) {
                goesOn(recovered(bench, how, seed), place);
            }
        });
        bench.history(new Random(HISTORY), TURNS);
        assertThat(bench.disk.steps).isGreaterThan(200);
    }

    @Test
    void aCrashInTheRestartItselfChangesNothing() throws IOException {
        Bench bench = new Bench(Bench.small(), 1);
        bench.disk.atStep = each(place -> {
            Bench again = bench.crashedHere(
                    place % 2 == 0 ? FaultyDisk.Unsynced.PROCESS : FaultyDisk.Unsynced.REORDERED, place);
            again.disk.atStep = each(second -> goesOn(recovered(again, FaultyDisk.Unsynced.REORDERED, second), place));
            again.open();
            again.commit("key 1", "after the first crash", 0);
            again.commit("key 2", null, 0);
            again.pass(10);
        });
        bench.history(new Random(HISTORY), TURNS / 2);
    }

    private static void failing(int at, boolean on, boolean space) throws IOException {
        Bench bench = new Bench(Bench.small(), at);
        bench.open();
        bench.disk.failAt = at;
        bench.disk.failsOn = on;
        if (space) {
            bench.disk.failure = () -> new Disk.NoSpaceException("planned", null);
        }
        bench.log.shut();
        try {
            bench.history(new Random(HISTORY), TURNS);
        } catch (IOException e) {
            assertThat(e).hasMessage("planned"); // a start or an end that could not be: the next one can
            bench.disk = bench.disk.restarted(FaultyDisk.Unsynced.KEPT, at);
            bench.open();
            bench.check(true);
            return;
        }
        bench.check(false);
        if (on) {
            bench.commit("key 1", "in doubt", 0);
            bench.commit("key 1", "refused", 0);
            assertThat(bench.refused).isPositive();
        }
        bench.disk.failAt = 0;
        bench.pass(10_000);
        bench.pass(70_000);
        assertThat(bench.log.mode()).isEqualTo(WriteState.Mode.OPEN);
        int before = bench.held;
        bench.commit("key 1", "it works again", 0);
        assertThat(bench.held).isEqualTo(before + 1);
        bench.check(false);
        bench.restart(FaultyDisk.Unsynced.REORDERED, at);
        bench.check(true);
    }

    @Test
    void aFailureAtEveryStepLosesNothingAndIsTold() throws IOException {
        int steps = whole().disk.steps;
        for (int at = 1; at <= steps; at++) {
            failing(at, false, false);
            failing(at, true, at % 2 == 0);
        }
    }
}

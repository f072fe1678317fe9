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
    private static final int HISTORY_ACTIONS = 130;
    private static final long HISTORY_SEED = 11;

    private static StoreHarness healthy() throws IOException {
        StoreHarness harness = new StoreHarness(StoreHarness.smallSettings(), 1);
        harness.runHistory(new Random(HISTORY_SEED), HISTORY_ACTIONS);
        return harness;
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

    private static StoreHarness recovered(StoreHarness at, FaultyDisk.Unsynced how, long seed) throws IOException {
        StoreHarness other = at.afterCrash(how, seed);
        other.open();
        other.assertExpectedValues(true);
        return other;
    }

    /** What was found goes on to be a store: it takes writes, and holds them after another crash. */
    private static void assertStillUsable(StoreHarness harness, long seed) throws IOException {
        recovered(harness, FaultyDisk.Unsynced.REORDERED, seed); // what was read is there for good
        harness.runActions(new Random(seed), 12);
        harness.assertExpectedValues(false);
        harness.restart(FaultyDisk.Unsynced.LOST, seed);
        harness.assertExpectedValues(true);
        assertThat(harness.events)
                .noneMatch(line -> line.startsWith("store_damage") || line.startsWith("store_file_lost"));
    }

    @Test
    void historyCoversCompactionCheckpointAndExpiry() throws IOException {
        StoreHarness harness = healthy();
        harness.assertExpectedValues(false);
        assertThat(harness.refusedWrites + harness.uncertainWrites).isZero();
        assertThat(harness.events)
                .anyMatch(line -> line.startsWith("store_compacted"))
                .anyMatch(line -> line.startsWith("store_checkpoint"));
        assertThat(harness.log.stats().counters().expired()).isPositive();
    }

    @Test
    void crashAtEveryAppendedByteKeepsAcknowledgedWrites() throws IOException {
        StoreHarness harness = new StoreHarness(StoreHarness.smallSettings(), 1);
        harness.disk.atByte = each(place -> {
            recovered(harness, FaultyDisk.Unsynced.KEPT, place);
            recovered(harness, FaultyDisk.Unsynced.REORDERED, place);
        });
        harness.runHistory(new Random(HISTORY_SEED), HISTORY_ACTIONS);
        assertThat(harness.disk.appended).isGreaterThan(8_000);
    }

    @ParameterizedTest
    @EnumSource
    void crashAtEveryDiskOperationKeepsAcknowledgedWrites(FaultyDisk.Unsynced how) throws IOException {
        StoreHarness harness = new StoreHarness(StoreHarness.smallSettings(), 1);
        int seeds = how == FaultyDisk.Unsynced.REORDERED || how == FaultyDisk.Unsynced.PROCESS ? 4 : 1;
        harness.disk.atStep = each(place -> {
            for (int seed = 0; seed < seeds; seed++) {
                assertStillUsable(recovered(harness, how, seed), place);
            }
        });
        harness.runHistory(new Random(HISTORY_SEED), HISTORY_ACTIONS);
        assertThat(harness.disk.steps).isGreaterThan(200);
    }

    @Test
    void crashDuringRecoveryLosesNothing() throws IOException {
        StoreHarness harness = new StoreHarness(StoreHarness.smallSettings(), 1);
        harness.disk.atStep = each(place -> {
            StoreHarness again = harness.afterCrash(
                    place % 2 == 0 ? FaultyDisk.Unsynced.PROCESS : FaultyDisk.Unsynced.REORDERED, place);
            again.disk.atStep =
                    each(second -> assertStillUsable(recovered(again, FaultyDisk.Unsynced.REORDERED, second), place));
            again.open();
            again.commitGroup("key 1", "after the first crash", 0);
            again.commitGroup("key 2", null, 0);
            again.advance(10);
        });
        harness.runHistory(new Random(HISTORY_SEED), HISTORY_ACTIONS / 2);
    }

    private static void assertRecoversFromFailure(int at, boolean on, boolean space) throws IOException {
        StoreHarness harness = new StoreHarness(StoreHarness.smallSettings(), at);
        harness.open();
        harness.disk.failAtStep = at;
        harness.disk.keepsFailing = on;
        if (space) {
            harness.disk.failure = () -> new Disk.DiskFullException("planned", null);
        }
        harness.log.closeFiles();
        try {
            harness.runHistory(new Random(HISTORY_SEED), HISTORY_ACTIONS);
        } catch (IOException e) {
            assertThat(e).hasMessage("planned"); // a start or an end that could not be: the next one can
            harness.disk = harness.disk.restarted(FaultyDisk.Unsynced.KEPT, at);
            harness.open();
            harness.assertExpectedValues(true);
            return;
        }
        harness.assertExpectedValues(false);
        if (on) {
            harness.commitGroup("key 1", "in doubt", 0);
            harness.commitGroup("key 1", "refused", 0);
            assertThat(harness.refusedWrites).isPositive();
        }
        harness.disk.failAtStep = 0;
        harness.advance(10_000);
        harness.advance(70_000);
        assertThat(harness.log.mode()).isEqualTo(WriteState.Mode.OPEN);
        int before = harness.heldWrites;
        harness.commitGroup("key 1", "it works again", 0);
        assertThat(harness.heldWrites).isEqualTo(before + 1);
        harness.assertExpectedValues(false);
        harness.restart(FaultyDisk.Unsynced.REORDERED, at);
        harness.assertExpectedValues(true);
    }

    @Test
    void failureOfEveryDiskOperationLosesNothingAndIsReported() throws IOException {
        int steps = healthy().disk.steps;
        for (int at = 1; at <= steps; at++) {
            assertRecoversFromFailure(at, false, false);
            assertRecoversFromFailure(at, true, at % 2 == 0);
        }
    }
}

package wheatspread.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import wheatspread.disk.Disk;

/**
 * Tests that no acknowledged write is lost if a crash or a failed disk operation occurs at any point of a fixed
 * history.
 */
class CrashTest {
    private static final int HISTORY_ACTIONS = 130;
    private static final long HISTORY_SEED = 11;
    private static final int INTERLEAVED_HISTORIES = 8;
    private static final int INTERLEAVED_ACTIONS = 60;

    private static StoreHarness runHistoryWithoutFailure() throws IOException {
        StoreHarness harness = new StoreHarness(StoreHarness.smallSettings(), 1);
        harness.runHistory(new Random(HISTORY_SEED), HISTORY_ACTIONS);
        return harness;
    }

    @FunctionalInterface
    private interface CrashPointCheck {
        void run(int crashPoint) throws IOException;
    }

    /** Returns a hook that passes the number of its previous calls to a check. */
    private static Runnable atEachPoint(CrashPointCheck check) {
        int[] crashPoint = new int[1];
        return () -> {
            try {
                check.run(crashPoint[0]++);
            } catch (IOException e) {
                throw new AssertionError("at crash point " + crashPoint[0], e);
            }
        };
    }

    private static StoreHarness recoverAfterCrash(StoreHarness harness, FaultyDisk.Unsynced unsynced, long seed)
            throws IOException {
        StoreHarness recovered = harness.afterCrash(unsynced, seed);
        recovered.open();
        recovered.assertExpectedValues(true);
        return recovered;
    }

    /** Asserts that a recovered store accepts writes, and keeps them after another crash. */
    private static void assertStillUsable(StoreHarness harness, long seed) throws IOException {
        recoverAfterCrash(harness, FaultyDisk.Unsynced.REORDERED, seed); // values that were read stay readable
        harness.runActions(new Random(seed), 12);
        harness.assertExpectedValues(false);
        harness.restart(FaultyDisk.Unsynced.LOST, seed);
        harness.assertExpectedValues(true);
        assertThat(harness.events)
                .noneMatch(line -> line.startsWith("store_damage") || line.startsWith("store_file_lost"));
    }

    @Test
    void historyIncludesCompactionCheckpointAndExpiry() throws IOException {
        StoreHarness harness = runHistoryWithoutFailure();
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
        harness.disk.atByte = atEachPoint(crashPoint -> {
            recoverAfterCrash(harness, FaultyDisk.Unsynced.KEPT, crashPoint);
            recoverAfterCrash(harness, FaultyDisk.Unsynced.REORDERED, crashPoint);
        });
        harness.runHistory(new Random(HISTORY_SEED), HISTORY_ACTIONS);
        assertThat(harness.disk.appended).isGreaterThan(8_000);
    }

    @ParameterizedTest
    @EnumSource
    void crashAtEveryDiskOperationKeepsAcknowledgedWrites(FaultyDisk.Unsynced unsynced) throws IOException {
        StoreHarness harness = new StoreHarness(StoreHarness.smallSettings(), 1);
        int seeds = unsynced == FaultyDisk.Unsynced.REORDERED || unsynced == FaultyDisk.Unsynced.PROCESS ? 4 : 1;
        harness.disk.atStep = atEachPoint(crashPoint -> {
            for (int seed = 0; seed < seeds; seed++) {
                assertStillUsable(recoverAfterCrash(harness, unsynced, seed), crashPoint);
            }
        });
        harness.runHistory(new Random(HISTORY_SEED), HISTORY_ACTIONS);
        assertThat(harness.disk.steps).isGreaterThan(200);
    }

    /** Guards against segments begun during a checkpoint that recovery reads from the checkpoint's offset. */
    @ParameterizedTest
    @EnumSource
    void crashDuringWritesBetweenTheStepsOfJobsKeepsAcknowledgedWrites(FaultyDisk.Unsynced unsynced)
            throws IOException {
        for (int historySeed = 0; historySeed < INTERLEAVED_HISTORIES; historySeed++) {
            StoreHarness harness = new StoreHarness(StoreHarness.smallSettings(), historySeed);
            harness.interleaving = new Random(historySeed);
            harness.disk.atStep = atEachPoint(crashPoint -> recoverAfterCrash(harness, unsynced, crashPoint));
            harness.runHistory(new Random(historySeed), INTERLEAVED_ACTIONS);
            harness.assertExpectedValues(false);
        }
    }

    @Test
    void crashDuringRecoveryLosesNothing() throws IOException {
        StoreHarness harness = new StoreHarness(StoreHarness.smallSettings(), 1);
        harness.disk.atStep = atEachPoint(crashPoint -> {
            StoreHarness recovering = harness.afterCrash(
                    crashPoint % 2 == 0 ? FaultyDisk.Unsynced.PROCESS : FaultyDisk.Unsynced.REORDERED, crashPoint);
            recovering.disk.atStep = atEachPoint(secondPoint -> assertStillUsable(
                    recoverAfterCrash(recovering, FaultyDisk.Unsynced.REORDERED, secondPoint), crashPoint));
            recovering.open();
            recovering.commitGroup("key 1", "after the first crash", 0);
            recovering.commitGroup("key 2", null, 0);
            recovering.advance(10);
        });
        harness.runHistory(new Random(HISTORY_SEED), HISTORY_ACTIONS / 2);
    }

    private static void assertRecoversFromFailure(int failedStep, boolean keepsFailing, boolean diskIsFull)
            throws IOException {
        StoreHarness harness = new StoreHarness(StoreHarness.smallSettings(), failedStep);
        harness.open();
        harness.disk.failAtStep = failedStep;
        harness.disk.keepsFailing = keepsFailing;
        if (diskIsFull) {
            harness.disk.failure = () -> new Disk.DiskFullException("planned", null);
        }
        harness.log.closeFiles();
        try {
            harness.runHistory(new Random(HISTORY_SEED), HISTORY_ACTIONS);
        } catch (IOException e) {
            assertThat(e).hasMessage("planned"); // opening or closing failed: the next start succeeds
            harness.disk = harness.disk.restarted(FaultyDisk.Unsynced.KEPT, failedStep);
            harness.open();
            harness.assertExpectedValues(true);
            return;
        }
        harness.assertExpectedValues(false);
        if (keepsFailing) {
            harness.commitGroup("key 1", "in doubt", 0);
            harness.commitGroup("key 1", "refused", 0);
            assertThat(harness.refusedWrites).isPositive();
        }
        harness.disk.failAtStep = 0;
        harness.advance(10_000);
        harness.advance(70_000);
        assertThat(harness.log.mode()).isEqualTo(WriteState.Mode.OPEN);
        int heldBefore = harness.heldWrites;
        harness.commitGroup("key 1", "it works again", 0);
        assertThat(harness.heldWrites).isEqualTo(heldBefore + 1);
        harness.assertExpectedValues(false);
        harness.restart(FaultyDisk.Unsynced.REORDERED, failedStep);
        harness.assertExpectedValues(true);
    }

    @Test
    void failureOfEveryDiskOperationLosesNothingAndIsReported() throws IOException {
        int steps = runHistoryWithoutFailure().disk.steps;
        for (int step = 1; step <= steps; step++) {
            assertRecoversFromFailure(step, false, false);
            assertRecoversFromFailure(step, true, step % 2 == 0);
        }
    }
}

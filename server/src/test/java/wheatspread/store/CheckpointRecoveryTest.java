package wheatspread.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests of recovery from checkpoints during which the log began new segments. */
class CheckpointRecoveryTest {
    /** The steps of a checkpoint: its head, each table of the index, and its end. */
    private static final int CHECKPOINT_STEPS = Index.TABLES + 2;

    /** A value of which three fill a segment. */
    private static final String LONG_TEXT = "x".repeat(250);

    /** Returns a store that is about to write its first checkpoint, in the middle of a segment. */
    private static StoreHarness openBeforeCheckpoint() throws IOException {
        StoreHarness harness = new StoreHarness(StoreHarness.smallSettings(), 1);
        harness.open();
        for (int i = 0; i < 40; i++) {
            harness.commitGroup("key " + i % 4, "before the checkpoint " + i, 0);
        }
        return harness;
    }

    private static void commitAndBeginSegment(StoreHarness harness, int step) throws IOException {
        int segments = harness.log.stats().segments();
        for (int i = 0; harness.log.stats().segments() == segments; i++) {
            harness.commitGroup("key " + i % 4, "step " + step + LONG_TEXT, 0);
        }
    }

    /** Runs a checkpoint; after a number of its steps, writes begin a new segment. */
    private static void runCheckpoint(StoreHarness harness, int stepsBeforeWrites) throws IOException {
        MaintenanceJob checkpoint = harness.log.startNextJob(harness.nowMillis);
        assertThat(checkpoint).isInstanceOf(CheckpointJob.class);
        boolean hasMore = true;
        for (int step = 0; hasMore; step++) {
            if (step == stepsBeforeWrites) {
                commitAndBeginSegment(harness, step);
            }
            hasMore = checkpoint.step();
        }
        harness.log.markJobDone(harness.nowMillis);
        harness.log.install();
    }

    /** Guards against a replay of segments begun during the checkpoint that starts at the checkpoint's offset. */
    @ParameterizedTest
    @EnumSource
    void crashAfterACheckpointKeepsWritesOfSegmentsBegunDuringIt(FaultyDisk.Unsynced unsynced) throws IOException {
        for (int step = 0; step < CHECKPOINT_STEPS; step++) {
            StoreHarness harness = openBeforeCheckpoint();
            runCheckpoint(harness, step);
            harness.restart(unsynced, step);
            assertThat(harness.log.recovered().fromCheckpoint()).isTrue();
            harness.assertExpectedValues(true);
        }
    }

    /** Guards against the same loss where a close cancels the next checkpoint, so that the first one counts. */
    @Test
    void closeAtEveryStepOfTheNextCheckpointKeepsWritesOfSegmentsBegunDuringTheFirst() throws IOException {
        for (int step = 0; step < CHECKPOINT_STEPS; step++) {
            StoreHarness harness = openBeforeCheckpoint();
            runCheckpoint(harness, step);
            for (int i = 0; i < 10; i++) {
                harness.commitGroup("key written later " + i, LONG_TEXT, 0);
            }
            MaintenanceJob next = harness.log.startNextJob(harness.nowMillis);
            for (int i = 0; i < step; i++) {
                next.step();
            }
            harness.reopen();
            harness.assertExpectedValues(false);
        }
    }

    /** Guards against a close without a checkpoint because one was begun, though never completed, before it. */
    @Test
    void closeDuringACheckpointLeavesACompleteOne() throws IOException {
        StoreHarness harness = openBeforeCheckpoint();
        MaintenanceJob checkpoint = harness.log.startNextJob(harness.nowMillis);
        checkpoint.step();
        harness.reopen();
        assertThat(harness.log.recovered().fromCheckpoint()).isTrue();
        assertThat(harness.log.recovered().replayedRecords()).isZero();
    }
}

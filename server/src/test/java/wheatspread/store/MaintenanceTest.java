package wheatspread.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import wheatspread.disk.Disk;

/** Tests of the space limit, expiry, compaction, checkpoints, and the sync modes. */
class MaintenanceTest {
    private static final String TEXT = "x".repeat(100);

    @Test
    void usedSpaceStaysWithinItsLimitUnderOverwritesAndExpiry() throws IOException {
        StoreHarness harness = new StoreHarness(StoreHarness.smallSettings().withSizes(1_024, 8_192, 2_048), 1);
        harness.open();
        for (int i = 0; i < 2_000; i++) {
            harness.commitGroup("key " + i % 7, TEXT + i, i % 3 == 0 ? 500 : 0);
            harness.advance(10);
            assertThat(harness.log.stats().usedBytes()).isLessThanOrEqualTo(8_192);
        }
        assertThat(harness.refusedWrites).isZero();
        assertThat(harness.log.stats().segments()).isLessThan(12);
        harness.assertExpectedValues(false);
        harness.restart(FaultyDisk.Unsynced.LOST, 1);
        harness.assertExpectedValues(true);
    }

    @Test
    void fullStoreRejectsWritesServesReadsAndAcceptsWritesAgain() throws IOException {
        StoreHarness harness = new StoreHarness(StoreHarness.smallSettings().withSizes(1_024, 8_192, 2_048), 1);
        harness.open();
        for (int i = 0; i < 100; i++) {
            harness.commitGroup("key " + i, TEXT, 600_000);
            harness.advance(1);
        }
        assertThat(harness.refusedWrites).isPositive();
        assertThat(harness.uncertainWrites).isZero();
        assertThat(harness.log.mode()).isEqualTo(WriteState.Mode.FULL);
        assertThat(harness.events).anyMatch(line -> line.startsWith("store_full"));
        harness.assertExpectedValues(false);
        int heldBefore = harness.heldWrites;
        harness.commitGroup("key 1", null, 0, "key 2", null, 0); // deletions are accepted, because they free space
        assertThat(harness.heldWrites).isEqualTo(heldBefore + 2);
        harness.advance(601_000);
        harness.advance(10);
        assertThat(harness.log.mode()).isEqualTo(WriteState.Mode.OPEN);
        harness.commitGroup("key 1", "again", 0);
        assertThat(harness.heldWrites).isEqualTo(heldBefore + 3);
        assertThat(harness.log.stats().keys()).isEqualTo(1);
        harness.assertExpectedValues(false);
    }

    @Test
    void fullDiskRejectsWritesUntilSpaceIsFreed() throws IOException {
        StoreHarness harness = new StoreHarness(StoreHarness.smallSettings(), 1);
        harness.open();
        harness.commitGroup("key", TEXT, 0);
        harness.disk.capacityBytes = 700;
        for (int i = 0; i < 10; i++) {
            harness.commitGroup("key " + i, TEXT, 0);
            harness.advance(100);
        }
        assertThat(harness.log.mode()).isEqualTo(WriteState.Mode.FULL);
        harness.assertExpectedValues(false);
        harness.disk.capacityBytes = Long.MAX_VALUE;
        harness.advance(10_000);
        harness.commitGroup("key", "again", 0);
        harness.assertExpectedValues(false);
        harness.restart(FaultyDisk.Unsynced.LOST, 1);
        harness.assertExpectedValues(true);
        assertThat(harness.log.get(StoreHarness.bytes("key"), harness.nowMillis).value())
                .isEqualTo(StoreHarness.bytes("again"));
    }

    @Test
    void expiredOverwriteDoesNotExposeTheOlderValue() throws IOException {
        StoreHarness harness = new StoreHarness(StoreHarness.smallSettings(), 1);
        harness.open();
        harness.commitGroup("key", "old, and never expires", 0);
        for (int i = 0; i < 10; i++) {
            harness.commitGroup("filler " + i, TEXT, 0);
        }
        harness.commitGroup("key", "new for a second", 1_000);
        for (int i = 0; i < 10; i++) {
            harness.commitGroup("other " + i, TEXT, 100);
        }
        for (int i = 0; i < 5; i++) {
            harness.advance(2_000);
            harness.restart(FaultyDisk.Unsynced.KEPT, i);
            assertThat(harness.log
                            .get(StoreHarness.bytes("key"), harness.nowMillis)
                            .kind())
                    .isEqualTo(Store.ReadResult.Kind.ABSENT);
        }
        assertThat(harness.events).anyMatch(line -> line.startsWith("store_compacted"));
    }

    @Test
    void intervalSyncLosesAtMostOneInterval() throws IOException {
        StoreHarness harness =
                new StoreHarness(StoreHarness.smallSettings().withSync(StoreSettings.Sync.INTERVAL, 100), 1);
        harness.open();
        for (int i = 0; i < 100; i++) {
            harness.commitGroup("key " + i, "x", 0);
            harness.nowMillis += 30;
            harness.log.tick(harness.nowMillis);
        }
        long syncs = harness.log.stats().counters().syncs();
        assertThat(syncs).isBetween(20L, 40L);
        StoreHarness processCrash = harness.afterCrash(FaultyDisk.Unsynced.KEPT, 1);
        processCrash.open();
        processCrash.assertExpectedValues(true); // only the process crashed, so nothing is lost
        StoreHarness machineCrash = harness.afterCrash(FaultyDisk.Unsynced.LOST, 1);
        machineCrash.open();
        assertThat(machineCrash.log.stats().keys()).isBetween(95, 100);
        assertThat(machineCrash.events).noneMatch(line -> line.startsWith("store_damage"));
    }

    @Test
    void checkpointAvoidsReplayingTheLog() throws IOException {
        StoreHarness harness = new StoreHarness(StoreHarness.smallSettings(), 1);
        harness.open();
        for (int i = 0; i < 200; i++) {
            harness.commitGroup("key " + i, "x", 0);
        }
        harness.log.finish(harness.nowMillis);
        harness.commitGroup("one", "more", 0);
        harness.restart(FaultyDisk.Unsynced.LOST, 1);
        harness.assertExpectedValues(true);
        assertThat(harness.log.recovered().fromCheckpoint()).isTrue();
        assertThat(harness.log.recovered().replayedRecords()).isEqualTo(1);
    }

    @Test
    void keysWithEqualHashesAreDistinguished() throws IOException {
        // simulates equal hashes by moving the entry of a key to the hash of another key
        StoreHarness harness = new StoreHarness(StoreHarness.smallSettings(), 1);
        harness.open();
        harness.commitGroup("one", "first", 0);
        harness.commitGroup("other", "second", 0);
        Index index = harness.log.catalog().index();
        long hash = harness.log.catalog().hash(StoreHarness.bytes("one"));
        long otherHash = harness.log.catalog().hash(StoreHarness.bytes("other"));
        long[] entry = new long[3];
        index.find(otherHash, (h, location, length, expiry) -> {
            entry[0] = location;
            entry[1] = length;
        });
        index.remove(otherHash, entry[0]);
        index.add(hash, entry[0], (int) entry[1], 0);
        assertThat(harness.log.get(StoreHarness.bytes("one"), harness.nowMillis).value())
                .isEqualTo(StoreHarness.bytes("first"));
        harness.commitGroup("one", "changed", 0);
        assertThat(index.find(hash, (h, location, length, expiry) -> {})).isEqualTo(2);
        assertThat(harness.log.get(StoreHarness.bytes("one"), harness.nowMillis).value())
                .isEqualTo(StoreHarness.bytes("changed"));
    }

    @Test
    void compactionPolicyChoosesTheRunWithTheBestBenefitToCostRatio() {
        CompactionPolicy policy = new CompactionPolicy(
                StoreSettings.DEFAULT.withSizes(100_000, 1 << 20, 1_024).withCompaction(1 << 20, 0.5, 1_000));
        long never = Segment.NEVER_EXPIRES_MILLIS;
        CompactionPolicy.Candidate full = new CompactionPolicy.Candidate(100_000, 99_000, never);
        CompactionPolicy.Candidate half = new CompactionPolicy.Candidate(100_000, 40_000, never);
        CompactionPolicy.Candidate dead = new CompactionPolicy.Candidate(100_000, 90_000, 5_000);
        CompactionPolicy.Candidate expiresSoon = new CompactionPolicy.Candidate(100_000, 10_000, 5_600);
        CompactionPolicy.Candidate small = new CompactionPolicy.Candidate(1_000, 700, never);
        assertThat(policy.choose(List.of(full, full), 5_000, false)).isNull();
        assertThat(policy.choose(List.of(full, half, full), 5_000, false)).isEqualTo(new CompactionPolicy.Run(1, 1));
        assertThat(policy.choose(List.of(half, full, dead, dead), 5_000, false))
                .isEqualTo(new CompactionPolicy.Run(2, 3));
        assertThat(policy.choose(List.of(full, expiresSoon), 5_000, false)).isNull();
        assertThat(policy.choose(List.of(full, expiresSoon), 5_000, true)).isEqualTo(new CompactionPolicy.Run(1, 1));
        assertThat(policy.choose(List.of(small, small, small, small, small, small, small), 5_000, false))
                .isNull();
        assertThat(policy.choose(List.of(small, small, small, small, small, small, small, small), 5_000, false))
                .isEqualTo(new CompactionPolicy.Run(0, 7));
    }

    @Test
    void retryDelayGrowsUpToItsMaximumAndIsResetByRecovery() {
        WriteState state = new WriteState();
        state.markFailed(0, false);
        assertThat(state.mode()).isEqualTo(WriteState.Mode.FAILED);
        assertThat(state.mayRetry(49)).isFalse();
        assertThat(state.mayRetry(50)).isTrue();
        for (int i = 0; i < 20; i++) {
            state.markFailed(0, true);
        }
        assertThat(state.retryAtMillis()).isEqualTo(WriteState.MAX_RETRY_DELAY_MILLIS);
        assertThat(state.mode()).isEqualTo(WriteState.Mode.FULL);
        state.markRecovered();
        assertThat(state.mode()).isEqualTo(WriteState.Mode.OPEN);
        RateLimiter rateLimiter = new RateLimiter(1_000_000, 0);
        assertThat(rateLimiter.delayNanosAfter(1_000, 0)).isEqualTo(1_000_000);
        assertThat(rateLimiter.delayNanosAfter(1_000, 1_500_000)).isEqualTo(500_000);
    }

    @Test
    void failedSyncIsNeverRetriedOnTheSameFile() throws IOException {
        StoreHarness harness = new StoreHarness(StoreHarness.smallSettings(), 1);
        harness.open();
        harness.commitGroup("key", "one", 0);
        harness.disk.failAtStep = harness.disk.steps + 2;
        harness.disk.failure = () -> new IOException("lost by the system");
        harness.commitGroup("key", "two", 0);
        assertThat(harness.uncertainWrites).isEqualTo(1);
        harness.advance(100);
        harness.commitGroup("key", "three", 0);
        assertThat(harness.disk.list()).contains(SegmentName.original(2).toString());
        assertThat(new Disk.DiskFullException("x", null)).hasMessage("x");
        harness.restart(FaultyDisk.Unsynced.LOST, 1);
        harness.assertExpectedValues(true);
    }

    /** Guards against a later sync of the same file, which succeeds although the system has dropped its data. */
    @ParameterizedTest
    @EnumSource(names = {"INTERVAL", "NONE"})
    void failedSyncBeforeACheckpointAbandonsTheSegment(StoreSettings.Sync sync) throws IOException {
        StoreHarness harness = new StoreHarness(StoreHarness.smallSettings().withSync(sync, 60_000), 1);
        harness.open();
        for (int i = 0; i < 40; i++) {
            harness.commitGroup("key " + i, "x", 0);
        }
        List<String> before = harness.disk.list();
        MaintenanceJob checkpoint = harness.log.startNextJob(harness.nowMillis);
        assertThat(checkpoint).isInstanceOf(CheckpointJob.class);
        while (checkpoint.step()) {
            continue;
        }
        harness.disk.failAtStep = harness.disk.steps + 1;
        assertThatThrownBy(() -> harness.log.markJobDone(harness.nowMillis)).isInstanceOf(IOException.class);
        harness.log.markJobFailed(new IOException("planned"), harness.nowMillis);
        assertThat(harness.disk.list()).noneMatch(name -> name.endsWith(".checkpoint"));
        assertThat(harness.log.mode()).isEqualTo(WriteState.Mode.FAILED);
        harness.advance(100);
        harness.commitGroup("later", "y", 0);
        assertThat(harness.disk.list().stream().filter(name -> name.endsWith(".0.log") && !before.contains(name)))
                .as("segments begun after the failure")
                .isNotEmpty();
        harness.assertExpectedValues(false);
    }
}

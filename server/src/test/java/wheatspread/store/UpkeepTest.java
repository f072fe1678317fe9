package wheatspread.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import wheatspread.disk.Disk;

/** Space, ageing, compaction, and the settings of sync. */
class UpkeepTest {
    private static final String TEXT = "x".repeat(100);

    @Test
    void theBoundOnSpaceHoldsUnderOverwritesAndExpiry() throws IOException {
        Bench bench = new Bench(Bench.small().withSizes(1_024, 8_192, 2_048), 1);
        bench.open();
        for (int i = 0; i < 2_000; i++) {
            bench.commit("key " + i % 7, TEXT + i, i % 3 == 0 ? 500 : 0);
            bench.pass(10);
            assertThat(bench.log.stats().usedBytes()).isLessThanOrEqualTo(8_192);
        }
        assertThat(bench.refused).isZero();
        assertThat(bench.log.stats().segments()).isLessThan(12);
        bench.check(false);
        bench.restart(FaultyDisk.Unsynced.LOST, 1);
        bench.check(true);
    }

    @Test
    void aFullStoreRefusesWritesServesReadsAndTakesWritesAgain() throws IOException {
        Bench bench = new Bench(Bench.small().withSizes(1_024, 8_192, 2_048), 1);
        bench.open();
        for (int i = 0; i < 100; i++) {
            bench.commit("key " + i, TEXT, 600_000);
            bench.pass(1);
        }
        assertThat(bench.refused).isPositive();
        assertThat(bench.inDoubt).isZero();
        assertThat(bench.log.mode()).isEqualTo(WriteState.Mode.FULL);
        assertThat(bench.events).anyMatch(line -> line.startsWith("store_full"));
        bench.check(false);
        int held = bench.held;
        bench.commit("key 1", null, 0, "key 2", null, 0); // what makes room is taken
        assertThat(bench.held).isEqualTo(held + 2);
        bench.pass(601_000);
        bench.pass(10);
        assertThat(bench.log.mode()).isEqualTo(WriteState.Mode.OPEN);
        bench.commit("key 1", "again", 0);
        assertThat(bench.held).isEqualTo(held + 3);
        assertThat(bench.log.stats().keys()).isEqualTo(1);
        bench.check(false);
    }

    @Test
    void aDiskWithoutSpaceIsARefusalUntilItHasSome() throws IOException {
        Bench bench = new Bench(Bench.small(), 1);
        bench.open();
        bench.commit("key", TEXT, 0);
        bench.disk.room = 700;
        for (int i = 0; i < 10; i++) {
            bench.commit("key " + i, TEXT, 0);
            bench.pass(100);
        }
        assertThat(bench.log.mode()).isEqualTo(WriteState.Mode.FULL);
        bench.check(false);
        bench.disk.room = Long.MAX_VALUE;
        bench.pass(10_000);
        bench.commit("key", "again", 0);
        bench.check(false);
        bench.restart(FaultyDisk.Unsynced.LOST, 1);
        bench.check(true);
        assertThat(bench.log.get(Bench.bytes("key"), bench.now).value()).isEqualTo(Bench.bytes("again"));
    }

    @Test
    void anExpiredOverwriteNeverBringsTheOlderValueBack() throws IOException {
        Bench bench = new Bench(Bench.small(), 1);
        bench.open();
        bench.commit("key", "old, and never expires", 0);
        for (int i = 0; i < 10; i++) {
            bench.commit("filler " + i, TEXT, 0);
        }
        bench.commit("key", "new for a second", 1_000);
        for (int i = 0; i < 10; i++) {
            bench.commit("other " + i, TEXT, 100);
        }
        for (int i = 0; i < 5; i++) {
            bench.pass(2_000);
            bench.restart(FaultyDisk.Unsynced.KEPT, i);
            assertThat(bench.log.get(Bench.bytes("key"), bench.now).kind()).isEqualTo(Store.Got.Kind.ABSENT);
        }
        assertThat(bench.events).anyMatch(line -> line.startsWith("store_compacted"));
    }

    @Test
    void anIntervalOfSyncsLosesNoMoreThanItsTime() throws IOException {
        Bench bench = new Bench(Bench.small().withSync(StoreSettings.Sync.INTERVAL, 100), 1);
        bench.open();
        for (int i = 0; i < 100; i++) {
            bench.commit("key " + i, "x", 0);
            bench.now += 30;
            bench.log.tick(bench.now);
        }
        long syncs = bench.log.stats().counters().syncs();
        assertThat(syncs).isBetween(20L, 40L);
        Bench kept = bench.crashedHere(FaultyDisk.Unsynced.KEPT, 1);
        kept.open();
        kept.check(true); // the process alone: nothing is lost
        Bench lost = bench.crashedHere(FaultyDisk.Unsynced.LOST, 1);
        lost.open();
        assertThat(lost.log.stats().keys()).isBetween(95, 100);
        assertThat(lost.events).noneMatch(line -> line.startsWith("store_damage"));
    }

    @Test
    void aCheckpointSparesReadingTheLog() throws IOException {
        Bench bench = new Bench(Bench.small(), 1);
        bench.open();
        for (int i = 0; i < 200; i++) {
            bench.commit("key " + i, "x", 0);
        }
        bench.log.finish(bench.now);
        bench.commit("one", "more", 0);
        bench.restart(FaultyDisk.Unsynced.LOST, 1);
        bench.check(true);
        assertThat(bench.log.recovered().fromCheckpoint()).isTrue();
        assertThat(bench.log.recovered().replayedRecords()).isEqualTo(1);
    }

    @Test
    void equalHashesAreDifferentKeys() throws IOException {
        // two keys of the same hash, made so by the index itself: entries are told apart by their keys
        Bench bench = new Bench(Bench.small(), 1);
        bench.open();
        bench.commit("one", "first", 0);
        bench.commit("other", "second", 0);
        Index index = bench.log.catalog().index;
        long hash = bench.log.catalog().hash(Bench.bytes("one"));
        long wrong = bench.log.catalog().hash(Bench.bytes("other"));
        long[] at = new long[3];
        index.find(wrong, (h, place, length, expiry) -> {
            at[0] = place;
            at[1] = length;
        });
        index.remove(wrong, at[0]);
        index.add(hash, at[0], (int) at[1], 0);
        assertThat(bench.log.get(Bench.bytes("one"), bench.now).value()).isEqualTo(Bench.bytes("first"));
        bench.commit("one", "changed", 0);
        assertThat(index.find(hash, (h, place, length, expiry) -> {})).isEqualTo(2);
        assertThat(bench.log.get(Bench.bytes("one"), bench.now).value()).isEqualTo(Bench.bytes("changed"));
    }

    @Test
    void thePolicyTakesTheRunThatFreesMostForItsCost() {
        CompactionPolicy policy = new CompactionPolicy(
                StoreSettings.DEFAULT.withSizes(100_000, 1 << 20, 1_024).withCompaction(1 << 20, 0.5, 1_000));
        long never = Segment.NEVER;
        CompactionPolicy.Candidate full = new CompactionPolicy.Candidate(100_000, 99_000, never);
        CompactionPolicy.Candidate half = new CompactionPolicy.Candidate(100_000, 40_000, never);
        CompactionPolicy.Candidate dead = new CompactionPolicy.Candidate(100_000, 90_000, 5_000);
        CompactionPolicy.Candidate soon = new CompactionPolicy.Candidate(100_000, 10_000, 5_600);
        CompactionPolicy.Candidate tiny = new CompactionPolicy.Candidate(1_000, 700, never);
        assertThat(policy.choose(List.of(full, full), 5_000, false)).isNull();
        assertThat(policy.choose(List.of(full, half, full), 5_000, false)).isEqualTo(new CompactionPolicy.Run(1, 1));
        assertThat(policy.choose(List.of(half, full, dead, dead), 5_000, false))
                .isEqualTo(new CompactionPolicy.Run(2, 3));
        assertThat(policy.choose(List.of(full, soon), 5_000, false)).isNull();
        assertThat(policy.choose(List.of(full, soon), 5_000, true)).isEqualTo(new CompactionPolicy.Run(1, 1));
        assertThat(policy.choose(List.of(tiny, tiny, tiny, tiny, tiny, tiny, tiny), 5_000, false))
                .isNull();
        assertThat(policy.choose(List.of(tiny, tiny, tiny, tiny, tiny, tiny, tiny, tiny), 5_000, false))
                .isEqualTo(new CompactionPolicy.Run(0, 7));
    }

    @Test
    void pausesBetweenAttemptsGrowAndEnd() {
        WriteState state = new WriteState();
        state.failed(0, false);
        assertThat(state.mode()).isEqualTo(WriteState.Mode.FAILED);
        assertThat(state.mayRetry(49)).isFalse();
        assertThat(state.mayRetry(50)).isTrue();
        for (int i = 0; i < 20; i++) {
            state.failed(0, true);
        }
        assertThat(state.retryAt()).isEqualTo(WriteState.LONGEST_PAUSE);
        assertThat(state.mode()).isEqualTo(WriteState.Mode.FULL);
        state.recovered();
        assertThat(state.mode()).isEqualTo(WriteState.Mode.OPEN);
        RateLimiter rateLimiter = new RateLimiter(1_000_000, 0);
        assertThat(rateLimiter.delayAfter(1_000, 0)).isEqualTo(1_000_000);
        assertThat(rateLimiter.delayAfter(1_000, 1_500_000)).isEqualTo(500_000);
    }

    @Test
    void aFailedSyncIsNeverTriedAgainOnTheSameFile() throws IOException {
        Bench bench = new Bench(Bench.small(), 1);
        bench.open();
        bench.commit("key", "one", 0);
        bench.disk.failAt = bench.disk.steps + 2;
        bench.disk.failure = () -> new IOException("lost by the system");
        bench.commit("key", "two", 0);
        assertThat(bench.inDoubt).isEqualTo(1);
        bench.pass(100);
        bench.commit("key", "three", 0);
        assertThat(bench.disk.list()).contains(SegmentName.original(2).toString());
        assertThat(new Disk.NoSpaceException("x", null)).hasMessage("x");
        bench.restart(FaultyDisk.Unsynced.LOST, 1);
        bench.check(true);
    }
}

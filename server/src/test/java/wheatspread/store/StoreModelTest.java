package wheatspread.store;

import java.io.IOException;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.stateful.Action;
import net.jqwik.api.stateful.ActionSequence;

/** Compares a store with a map of its expected content after random sequences of actions. */
class StoreModelTest {
    /** An action on a store, followed by a check of its content. */
    private interface StoreAction extends Action<StoreHarness> {
        void apply(StoreHarness harness) throws IOException;

        @Override
        default StoreHarness run(StoreHarness harness) {
            try {
                apply(harness);
                harness.assertExpectedValues(false);
            } catch (IOException e) {
                throw new AssertionError(e);
            }
            return harness;
        }
    }

    @Provide
    Arbitrary<ActionSequence<StoreHarness>> actions() {
        Arbitrary<String> keys = Arbitraries.integers().between(0, 9).map(n -> "key " + n);
        Arbitrary<String> values = Arbitraries.strings().alpha().ofMaxLength(200);
        Arbitrary<Integer> lifetimes = Arbitraries.integers().between(0, 4_000);
        Arbitrary<Action<StoreHarness>> put = Combinators.combine(keys, values, lifetimes)
                .as((key, value, lifetimeMillis) ->
                        (StoreAction) harness -> harness.commitGroup(key, value, lifetimeMillis));
        Arbitrary<Action<StoreHarness>> overlappingGroup = Combinators.combine(keys, keys, values, lifetimes)
                .as((key, otherKey, value, lifetimeMillis) -> (StoreAction) harness -> harness.commitGroup(
                        key, value, lifetimeMillis, otherKey, "b", 0, key, null, 0, otherKey, value, lifetimeMillis));
        Arbitrary<Action<StoreHarness>> delete =
                keys.map(key -> (StoreAction) harness -> harness.commitGroup(key, null, 0));
        Arbitrary<Action<StoreHarness>> timeStep =
                Arbitraries.integers().between(0, 3_000).map(ms -> (StoreAction) harness -> harness.advance(ms));
        Arbitrary<Action<StoreHarness>> checkpoint = Arbitraries.just((StoreAction) harness -> {
            harness.log.finish(harness.nowMillis);
            harness.advance(1_000);
        });
        Arbitrary<Action<StoreHarness>> compaction = Arbitraries.just((StoreAction) harness -> {
            harness.runJobs();
            try {
                harness.log.compactNow(harness.nowMillis, false);
            } catch (IOException planned) {
                harness.advance(1_000);
            }
        });
        Arbitrary<Action<StoreHarness>> failure = Arbitraries.integers()
                .between(1, 6)
                .map(stepsAhead -> (StoreAction) harness -> {
                    harness.disk.failAtStep = harness.disk.steps + stepsAhead;
                });
        Arbitrary<Action<StoreHarness>> crash = Combinators.combine(
                        Arbitraries.of(FaultyDisk.Unsynced.class), Arbitraries.longs())
                .as((how, seed) -> (StoreAction) harness -> {
                    harness.restart(how, seed);
                    harness.assertExpectedValues(true);
                });
        return Arbitraries.sequences(Arbitraries.frequencyOf(
                Tuple.of(8, put),
                Tuple.of(3, overlappingGroup),
                Tuple.of(3, delete),
                Tuple.of(3, timeStep),
                Tuple.of(1, checkpoint),
                Tuple.of(2, compaction),
                Tuple.of(1, failure),
                Tuple.of(2, crash)));
    }

    @Property(tries = 300, seed = "20261201")
    void storeBehavesLikeAMap(@ForAll("actions") ActionSequence<StoreHarness> actions) throws IOException {
        StoreHarness harness = new StoreHarness(StoreHarness.smallSettings(), 7);
        harness.open();
        actions.run(harness);
    }
}

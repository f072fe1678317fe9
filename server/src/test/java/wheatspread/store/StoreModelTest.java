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

/** Random sequences of actions on a store, compared with a map of its expected content. */
class StoreModelTest {
    /** One action on a store. */
    private interface StoreAction extends Action<StoreHarness> {
        void to(StoreHarness harness) throws IOException;

        @Override
        default StoreHarness run(StoreHarness harness) {
            try {
                to(harness);
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
        Arbitrary<Integer> lives = Arbitraries.integers().between(0, 4_000);
        Arbitrary<Action<StoreHarness>> put = Combinators.combine(keys, values, lives)
                .as((key, value, life) -> (StoreAction) harness -> harness.commitGroup(key, value, life));
        Arbitrary<Action<StoreHarness>> several = Combinators.combine(keys, keys, values, lives)
                .as((one, other, value, life) -> (StoreAction) harness ->
                        harness.commitGroup(one, value, life, other, "b", 0, one, null, 0, other, value, life));
        Arbitrary<Action<StoreHarness>> delete =
                keys.map(key -> (StoreAction) harness -> harness.commitGroup(key, null, 0));
        Arbitrary<Action<StoreHarness>> time =
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
                .map(in -> (StoreAction) harness -> {
                    harness.disk.failAtStep = harness.disk.steps + in;
                });
        Arbitrary<Action<StoreHarness>> crash = Combinators.combine(
                        Arbitraries.of(FaultyDisk.Unsynced.class), Arbitraries.longs())
                .as((how, seed) -> (StoreAction) harness -> {
                    harness.restart(how, seed);
                    harness.assertExpectedValues(true);
                });
        return Arbitraries.sequences(Arbitraries.frequencyOf(
                Tuple.of(8, put),
                Tuple.of(3, several),
                Tuple.of(3, delete),
                Tuple.of(3, time),
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

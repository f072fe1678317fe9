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

/** Any sequence of what may happen to a store, beside the map of what it must hold. */
class StoreModelTest {
    /** One thing that happens. */
    private interface Happening extends Action<Bench> {
        void to(Bench bench) throws IOException;

        @Override
        default Bench run(Bench bench) {
            try {
                to(bench);
                bench.check(false);
            } catch (IOException e) {
                throw new AssertionError(e);
            }
            return bench;
        }
    }

    @Provide
    Arbitrary<ActionSequence<Bench>> happenings() {
        Arbitrary<String> keys = Arbitraries.integers().between(0, 9).map(n -> "key " + n);
        Arbitrary<String> values = Arbitraries.strings().alpha().ofMaxLength(200);
        Arbitrary<Integer> lives = Arbitraries.integers().between(0, 4_000);
        Arbitrary<Action<Bench>> put = Combinators.combine(keys, values, lives)
                .as((key, value, life) -> (Happening) bench -> bench.commit(key, value, life));
        Arbitrary<Action<Bench>> several = Combinators.combine(keys, keys, values, lives)
                .as((one, other, value, life) -> (Happening)
                        bench -> bench.commit(one, value, life, other, "b", 0, one, null, 0, other, value, life));
        Arbitrary<Action<Bench>> delete = keys.map(key -> (Happening) bench -> bench.commit(key, null, 0));
        Arbitrary<Action<Bench>> time =
                Arbitraries.integers().between(0, 3_000).map(ms -> (Happening) bench -> bench.pass(ms));
        Arbitrary<Action<Bench>> checkpoint = Arbitraries.just((Happening) bench -> {
            bench.log.finish(bench.now);
            bench.pass(1_000);
        });
        Arbitrary<Action<Bench>> compaction = Arbitraries.just((Happening) bench -> {
            bench.jobs();
            try {
                bench.log.compactNow(bench.now, false);
            } catch (IOException planned) {
                bench.pass(1_000);
            }
        });
        Arbitrary<Action<Bench>> failure = Arbitraries.integers().between(1, 6).map(in -> (Happening) bench -> {
            bench.disk.failAt = bench.disk.steps + in;
        });
        Arbitrary<Action<Bench>> crash = Combinators.combine(
                        Arbitraries.of(FaultyDisk.Unsynced.class), Arbitraries.longs())
                .as((how, seed) -> (Happening) bench -> {
                    bench.restart(how, seed);
                    bench.check(true);
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
    void holdsWhatTheMapHolds(@ForAll("happenings") ActionSequence<Bench> happenings) throws IOException {
        Bench bench = new Bench(Bench.small(), 7);
        bench.open();
        happenings.run(bench);
    }
}

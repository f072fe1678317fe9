package wheatspread.lab.bench;

import java.util.ArrayDeque;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import wheatspread.admission.Admission;
import wheatspread.admission.Admission.Advice;
import wheatspread.admission.Admission.Below;
import wheatspread.admission.Admission.Callers;
import wheatspread.admission.Admission.Dependency;
import wheatspread.admission.Admission.Effect;
import wheatspread.admission.Admission.Halt;
import wheatspread.admission.Admission.Limits;
import wheatspread.admission.Admission.Outcome;
import wheatspread.admission.Admission.Request;
import wheatspread.admission.Admission.RequestClass;
import wheatspread.admission.Admission.Settings;
import wheatspread.admission.Admission.Tenant;
import wheatspread.admission.choice.Choice;

/**
 * What a decision costs while {@code held} requests wait, by how many tenants there are. The requests are held by
 * {@code heldBy} tenants spread evenly over all; with {@code all}, requests come from all tenants in turn. Every
 * tenant has asked before. The clock goes on by 0.1 ms with each decision.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class DecisionBenchmark {
    private static final String ALL = "all";
    private static final int CORES = 2;
    private static final double HELD_KB = 20;
    private static final double RUN_FACTOR = 4;
    /** Share of the memory above which the module pushes held requests out. */
    private static final double FULL = 0.95;

    private static final double AMPLE_KB = 1e9;
    /** No request becomes due while the benchmark runs; us. */
    private static final long FAR_AHEAD = 1_000_000_000_000_000L;

    private static final long STEP = 100;
    private static final long RUN_TIME = 5_000;
    /** More than the time between two looks of the module at its gauges; us. */
    private static final long TICKS_PAST = 200_000;

    private static final int RUNS_LEARNED = 100;

    @Param({"10", "1000", "10000", "100000"})
    private int tenants;

    @Param({"10", "500"})
    private int held;

    @Param({"2", "10", ALL})
    private String heldBy;

    private final Random random = new Random(1);
    private final double[] hints = random.doubles(1 << 12, 1_000, 10_000).toArray();
    private Server accepting;
    private Server full;

    /** One module and the requests it runs. */
    private final class Server implements Admission.Actions {
        private final ArrayDeque<Long> running = new ArrayDeque<>();
        private final int holders = heldBy.equals(ALL) ? tenants : Math.min(Integer.parseInt(heldBy), tenants);
        private final Choice choice;
        private long now;
        private long lastId;
        private long arrivals;
        private long refusals;

        Server(double memoryKb) {
            choice = new Choice(settings(memoryKb), 1);
            for (int tenant = 0; tenant < tenants; tenant++) {
                arrive(tenant);
                choice.gone(lastId);
            }
            for (int run = 0; run < RUNS_LEARNED; run++) {
                arrive();
                decide();
                complete();
                decide();
            }
            now += TICKS_PAST;
            for (int run = 0; run < CORES; run++) {
                arrive();
                decide();
            }
            for (int i = 0; i < held; i++) {
                arrive();
            }
            decide();
            check(0);
            arrivals = 0;
        }

        private void arrive() {
            arrive((int) (arrivals++ % holders * (tenants / holders)));
        }

        private void arrive(int tenant) {
            double hint = hints[(int) (++lastId & hints.length - 1)];
            choice.arrived(new Request(lastId, tenant, 0, 0, 0, 0, false, false, false, HELD_KB, hint));
        }

        private void complete() {
            choice.completed(running.poll(), Outcome.OK, RUN_TIME);
        }

        private void decide() {
            choice.decide(this);
            now += STEP;
            choice.begin(now);
        }

        private void check(long expectedRefusals) {
            if (running.size() != CORES || refusals != expectedRefusals) {
                throw new IllegalStateException(running.size() + " run, " + refusals + " were refused of " + arrivals);
            }
        }

        @Override
        public void run(long id) {
            running.add(id);
        }

        @Override
        public void refuse(long id, long stayAway, boolean dontRetry) {
            refusals++;
        }

        @Override
        public void fail(long id) {}

        @Override
        public void stop(long id) {}

        @Override
        public void call(long id, long giveUpAfter) {}

        @Override
        public void skipCall(long id) {}

        @Override
        public void pin(long id, long ttl) {}

        @Override
        public void unpin(long id) {}

        @Override
        public void join(long id) {}

        @Override
        public void health(boolean good, boolean stored) {}

        @Override
        public void advise(double value) {}

        @Override
        public void closeIdle(long after) {}

        @Override
        public void wake(long after) {}

        @Override
        public void log(String text) {}
    }

    private Settings settings(double memoryKb) {
        return new Settings(
                CORES,
                1,
                false,
                Halt.ABORT,
                0,
                1_000,
                new Limits(memoryKb, RUN_FACTOR, 1, 5, 1, 0, 0, 0),
                new Below(Dependency.NONE, 0, 0, 0),
                new Callers(1, Advice.NONE, 0, 0, false, 0, 0, 0),
                List.of(new RequestClass(FAR_AHEAD, 0, FAR_AHEAD, Effect.IDEMPOTENT, 1, 0, 0, false, 0)),
                Collections.nCopies(tenants, new Tenant(1)));
    }

    /** Fills two servers: one with ample memory, and one whose memory just holds what is held. */
    @Setup
    public void fill() {
        accepting = new Server(AMPLE_KB);
        double used = HELD_KB * (held + CORES * RUN_FACTOR);
        full = new Server((used + HELD_KB / 2) / FULL);
    }

    /** The load stayed as it is described. */
    @TearDown
    public void check() {
        accepting.check(0);
        full.check(full.arrivals / 2);
    }

    /** A run ends, a request arrives and is held, and a held one is dispatched. */
    @Benchmark
    public long dispatch() {
        accepting.complete();
        accepting.arrive();
        accepting.decide();
        return accepting.lastId;
    }

    /** A run ends at a full server and two requests arrive: one held is dispatched, one is refused. */
    @Benchmark
    public long dispatchAndRefuse() {
        full.complete();
        full.arrive();
        full.arrive();
        full.decide();
        return full.refusals;
    }
}

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
import wheatspread.admission.AdmissionController;
import wheatspread.admission.AdmissionRequest;
import wheatspread.admission.AdmissionSettings;
import wheatspread.admission.ClientSettings;
import wheatspread.admission.DependencyKind;
import wheatspread.admission.DependencyLimits;
import wheatspread.admission.Idempotency;
import wheatspread.admission.LoadFeedbackMode;
import wheatspread.admission.Outcome;
import wheatspread.admission.PreemptionMode;
import wheatspread.admission.RequestClass;
import wheatspread.admission.ServerLimits;
import wheatspread.admission.Tenant;
import wheatspread.admission.sfq.SfqAdmissionController;

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
    private final class Server implements AdmissionController.Actions {
        private final ArrayDeque<Long> running = new ArrayDeque<>();
        private final int holders = heldBy.equals(ALL) ? tenants : Math.min(Integer.parseInt(heldBy), tenants);
        private final SfqAdmissionController choice;
        private long now;
        private long lastId;
        private long arrivals;
        private long refusals;

        Server(double memoryKb) {
            choice = new SfqAdmissionController(settings(memoryKb), 1);
            for (int tenant = 0; tenant < tenants; tenant++) {
                arrive(tenant);
                choice.onCancellation(lastId);
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
            choice.onArrival(new AdmissionRequest(lastId, tenant, 0, 0, 0, 0, false, false, false, HELD_KB, hint));
        }

        private void complete() {
            choice.onCompletion(running.poll(), Outcome.OK, RUN_TIME);
        }

        private void decide() {
            choice.decide(this);
            now += STEP;
            choice.beginBatch(now);
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
        public void reject(long id, long stayAway, boolean dontRetry) {
            refusals++;
        }

        @Override
        public void fail(long id) {}

        @Override
        public void preempt(long id) {}

        @Override
        public void callDependency(long id, long giveUpAfter) {}

        @Override
        public void skipDependency(long id) {}

        @Override
        public void retainKey(long id, long ttl) {}

        @Override
        public void releaseKey(long id) {}

        @Override
        public void joinResult(long id) {}

        @Override
        public void setHealth(boolean good, boolean stored) {}

        @Override
        public void setLoadFeedback(double value) {}

        @Override
        public void setIdleTimeout(long after) {}

        @Override
        public void scheduleWakeup(long after) {}

        @Override
        public void log(String text) {}
    }

    private AdmissionSettings settings(double memoryKb) {
        return new AdmissionSettings(
                CORES,
                1,
                false,
                PreemptionMode.ABORT,
                0,
                1_000,
                new ServerLimits(memoryKb, RUN_FACTOR, 1, 5, 1, 0, 0, 0),
                new DependencyLimits(DependencyKind.NONE, 0, 0, 0),
                new ClientSettings(1, LoadFeedbackMode.NONE, 0, 0, false, 0, 0, 0),
                List.of(new RequestClass(FAR_AHEAD, 0, FAR_AHEAD, Idempotency.IDEMPOTENT, 1, 0, 0, false, 0)),
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

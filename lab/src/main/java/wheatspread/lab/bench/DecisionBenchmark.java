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
 * Measures a decision of the admission controller while {@code held} requests are held, by the number of tenants. The
 * held requests belong to {@code heldBy} tenants spread evenly over all; with {@code all}, requests arrive from all
 * tenants in turn. Every tenant has sent a request before. The clock advances by 0.1 ms with each decision.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class DecisionBenchmark {
    private static final String ALL_TENANTS = "all";
    private static final int CORES = 2;
    private static final double REQUEST_KB = 20;
    private static final double RUN_FACTOR = 4;
    /** Share of the memory above which the controller evicts held requests. */
    private static final double EVICTION_SHARE = 0.95;

    private static final double AMPLE_MEMORY_KB = 1e9;
    /** A deadline that no request reaches while the benchmark runs. */
    private static final long DEADLINE_MICROS = 1_000_000_000_000_000L;

    private static final long STEP_MICROS = 100;
    private static final long RUN_MICROS = 5_000;
    /** Longer than the interval between two reads of the gauges. */
    private static final long GAUGE_INTERVAL_MICROS = 200_000;

    private static final int LEARNING_RUNS = 100;

    @Param({"10", "1000", "10000", "100000"})
    private int tenants;

    @Param({"10", "500"})
    private int held;

    @Param({"2", "10", ALL_TENANTS})
    private String heldBy;

    private final Random random = new Random(1);
    private final double[] hints = random.doubles(1 << 12, 1_000, 10_000).toArray();
    private Server accepting;
    private Server full;

    /** An admission controller with its running requests. */
    private final class Server implements AdmissionController.Actions {
        private final ArrayDeque<Long> running = new ArrayDeque<>();
        private final int holders = heldBy.equals(ALL_TENANTS) ? tenants : Math.min(Integer.parseInt(heldBy), tenants);
        private final SfqAdmissionController controller;
        private long nowMicros;
        private long lastId;
        private long arrivals;
        private long rejections;

        Server(double memoryKb) {
            controller = new SfqAdmissionController(settings(memoryKb), 1);
            for (int tenant = 0; tenant < tenants; tenant++) {
                arrive(tenant);
                controller.onCancellation(lastId);
            }
            for (int run = 0; run < LEARNING_RUNS; run++) {
                arrive();
                decide();
                complete();
                decide();
            }
            nowMicros += GAUGE_INTERVAL_MICROS;
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
            controller.onArrival(
                    new AdmissionRequest(lastId, tenant, 0, 0, 0, 0, false, false, false, REQUEST_KB, hint));
        }

        private void complete() {
            controller.onCompletion(running.poll(), Outcome.OK, RUN_MICROS);
        }

        private void decide() {
            controller.decide(this);
            nowMicros += STEP_MICROS;
            controller.beginBatch(nowMicros);
        }

        private void check(long expectedRejections) {
            if (running.size() != CORES || rejections != expectedRejections) {
                throw new IllegalStateException(running.size() + " requests run and " + rejections + " of " + arrivals
                        + " were rejected; expected " + CORES + " and " + expectedRejections);
            }
        }

        @Override
        public void run(long id) {
            running.add(id);
        }

        @Override
        public void reject(long id, long retryAfterMicros, boolean doNotRetry) {
            rejections++;
        }

        @Override
        public void fail(long id) {}

        @Override
        public void preempt(long id) {}

        @Override
        public void callDependency(long id, long timeoutMicros) {}

        @Override
        public void skipDependency(long id) {}

        @Override
        public void retainKey(long id, long ttlMicros) {}

        @Override
        public void releaseKey(long id) {}

        @Override
        public void joinResult(long id) {}

        @Override
        public void setHealth(boolean healthy, boolean stored) {}

        @Override
        public void setLoadFeedback(double value) {}

        @Override
        public void setIdleTimeout(long timeoutMicros) {}

        @Override
        public void scheduleWakeup(long delayMicros) {}

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
                List.of(new RequestClass(
                        DEADLINE_MICROS, 0, DEADLINE_MICROS, Idempotency.IDEMPOTENT, 1, 0, 0, false, 0)),
                Collections.nCopies(tenants, new Tenant(1)));
    }

    /** Fills two servers, one with ample memory and one whose memory just suffices for the held requests. */
    @Setup
    public void fill() {
        accepting = new Server(AMPLE_MEMORY_KB);
        double used = REQUEST_KB * (held + CORES * RUN_FACTOR);
        full = new Server((used + REQUEST_KB / 2) / EVICTION_SHARE);
    }

    /** Checks that the load stayed as described. */
    @TearDown
    public void check() {
        accepting.check(0);
        full.check(full.arrivals / 2);
    }

    /** A run ends, a request arrives and is held, and a held request is dispatched. */
    @Benchmark
    public long dispatch() {
        accepting.complete();
        accepting.arrive();
        accepting.decide();
        return accepting.lastId;
    }

    /** A run ends at a full server and two requests arrive: a held request is dispatched, and one is rejected. */
    @Benchmark
    public long dispatchAndRefuse() {
        full.complete();
        full.arrive();
        full.arrive();
        full.decide();
        return full.rejections;
    }
}

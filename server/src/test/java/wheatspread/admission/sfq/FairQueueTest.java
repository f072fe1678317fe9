package wheatspread.admission.sfq;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import wheatspread.admission.AdmissionRequest;
import wheatspread.admission.AdmissionSettings;
import wheatspread.admission.Idempotency;
import wheatspread.admission.RequestClass;
import wheatspread.admission.Tenant;

/**
 * Compares {@link FairQueue}, which orders flows by heaps, with a reference implementation that scans the flows of all
 * tenants for each decision and recomputes every lead. Random events must give the same decisions and tags.
 */
class FairQueueTest {
    /** Quotas, costs and time steps have few distinct values, so that ties are frequent. */
    private static final double[] QUOTAS = {1, 1, 2, 5, 0.1};

    private static final double[] COSTS = {1, 1, 0.5, 2, 1.0 / 3};
    /** Time steps from zero through service times and the decay of charges to their underflow to zero. */
    private static final long[] STEPS_MICROS = {0, 0, 1, 900, 20_000, 700_000, 30_000_000, 2_000_000_000};

    private static final int[] TENANTS = {0, 1, 2, 5, 40, 2_000};

    /** A request of the reference implementation. */
    private static final class ReferenceRequest {
        private final TrackedRequest counterpart;
        private final ReferenceFlow flow;
        private final double cost;
        private final double virtualTimeAtArrival;
        private double startTag;
        private double finishTag;

        ReferenceRequest(TrackedRequest counterpart, ReferenceFlow flow, double cost, double virtualTimeAtArrival) {
            this.counterpart = counterpart;
            this.flow = flow;
            this.cost = cost;
            this.virtualTimeAtArrival = virtualTimeAtArrival;
        }
    }

    /** A flow of the reference implementation. */
    private static final class ReferenceFlow {
        private static final double CHARGE_DECAY_MICROS = 2_000_000;

        private final int tenant;
        private final double weight;
        private final ArrayDeque<ReferenceRequest> queue = new ArrayDeque<>();
        private double lastDispatchedFinishTag;
        private double lastFinishTag;
        private double recentCharge;
        private long chargedAtMicros;

        ReferenceFlow(int tenant, double weight) {
            this.tenant = tenant;
            this.weight = weight;
        }

        private void tag(ReferenceRequest tracked) {
            tracked.startTag = Math.max(tracked.virtualTimeAtArrival, lastFinishTag);
            tracked.finishTag = tracked.startTag + tracked.cost / weight;
            lastFinishTag = tracked.finishTag;
        }

        private void add(ReferenceRequest tracked) {
            tag(tracked);
            queue.add(tracked);
        }

        private void poll(long nowMicros) {
            ReferenceRequest tracked = queue.poll();
            lastDispatchedFinishTag = tracked.finishTag;
            recentCharge = recentCharge(nowMicros) + tracked.finishTag - tracked.startTag;
            chargedAtMicros = nowMicros;
        }

        private double recentCharge(long nowMicros) {
            return recentCharge * Math.exp((chargedAtMicros - nowMicros) / CHARGE_DECAY_MICROS);
        }

        private double lead(long nowMicros) {
            return recentCharge(nowMicros) + queue.peekLast().startTag - queue.peek().startTag;
        }

        private ReferenceRequest lowestWeight() {
            return queue.stream()
                    .reduce((a, b) -> b.counterpart.totalWeight() <= a.counterpart.totalWeight() ? b : a)
                    .orElseThrow();
        }

        private void remove(ReferenceRequest tracked) {
            if (queue.remove(tracked)) {
                lastFinishTag = lastDispatchedFinishTag;
                queue.forEach(this::tag);
            }
        }
    }

    /**
     * Reference implementation: every decision scans the flows of all tenants, and the first of several equal flows is
     * chosen.
     */
    private static final class ReferenceQueue {
        private final ReferenceFlow[] flows;
        private double virtualTime;

        ReferenceQueue(List<Tenant> tenants) {
            flows = new ReferenceFlow[Math.max(1, tenants.size())];
            double totalQuotaPerSecond =
                    tenants.stream().mapToDouble(Tenant::quotaPerSecond).sum();
            boolean weighted = tenants.stream().allMatch(t -> t.quotaPerSecond() > 0) && totalQuotaPerSecond > 0;
            for (int i = 0; i < flows.length; i++) {
                flows[i] = new ReferenceFlow(
                        i, weighted ? tenants.get(i).quotaPerSecond() / totalQuotaPerSecond * flows.length : 1);
            }
        }

        private ReferenceFlow flow(int tenant) {
            return flows[tenant < flows.length && tenant >= 0 ? tenant : 0];
        }

        private ReferenceRequest smallestStart() {
            return backlogged()
                    .map(flow -> flow.queue.peek())
                    .reduce((a, b) -> b.startTag < a.startTag ? b : a)
                    .orElse(null);
        }

        private ReferenceFlow flowWithLargestLead(long nowMicros) {
            return backlogged()
                    .reduce((a, b) -> b.lead(nowMicros) > a.lead(nowMicros) ? b : a)
                    .orElse(null);
        }

        private Stream<ReferenceFlow> backlogged() {
            return Arrays.stream(flows).filter(flow -> !flow.queue.isEmpty());
        }
    }

    /** Feeds both implementations with the same random events and compares their decisions. */
    private static final class QueueComparison {
        private final Random random;
        private final List<Tenant> tenants = new ArrayList<>();
        private final AdmissionSettings settings;
        private final FairQueue queue;
        private final ReferenceQueue reference;
        private final List<ReferenceRequest> held = new ArrayList<>();
        private long nowMicros = 1_000_000;
        private long lastId;
        private int rejected;

        QueueComparison(Random random, int tenantCount) {
            this.random = random;
            boolean weighted = random.nextInt(4) > 0;
            for (int i = 0; i < tenantCount; i++) {
                tenants.add(new Tenant(weighted ? QUOTAS[random.nextInt(QUOTAS.length)] : 0));
            }
            settings = TestSettings.settings(false, 100_000, 0, tenants, requestClass(1), requestClass(3));
            queue = new FairQueue(tenants);
            reference = new ReferenceQueue(tenants);
        }

        private static RequestClass requestClass(double weight) {
            return new RequestClass(1_000_000, 0, 3_000_000, Idempotency.IDEMPOTENT, weight, 0, 0, false, 0);
        }

        private void advanceTime() {
            nowMicros += STEPS_MICROS[random.nextInt(STEPS_MICROS.length)];
        }

        /**
         * Draws a tenant. Some tenants are drawn often; some indexes are out of bounds and stand for the first tenant.
         */
        private int drawTenant() {
            int bound = random.nextBoolean() ? tenants.size() + 2 : Math.min(tenants.size(), 3) + 1;
            return random.nextInt(bound) - 1;
        }

        private void arrive() {
            int tenant = drawTenant();
            int requestClass = random.nextInt(2);
            AdmissionRequest request =
                    new AdmissionRequest(++lastId, tenant, requestClass, 0, 0, 0, false, false, false, 20, 0);
            TrackedRequest tracked =
                    new TrackedRequest(request, settings.classes().get(requestClass), queue.flow(tenant), nowMicros, 0);
            tracked.joiners = random.nextInt(8) == 0 ? 1 : 0;
            double cost = random.nextInt(3) == 0 ? random.nextDouble() * 4 : COSTS[random.nextInt(COSTS.length)];
            ReferenceRequest counterpart =
                    new ReferenceRequest(tracked, reference.flow(tenant), cost, reference.virtualTime);
            queue.enqueue(tracked, cost, nowMicros);
            counterpart.flow.add(counterpart);
            held.add(counterpart);
        }

        private void dispatch() {
            ReferenceRequest expected = reference.smallestStart();
            TrackedRequest tracked = queue.peek();
            assertThat(tracked).as("smallest start tag").isSameAs(expected == null ? null : expected.counterpart);
            if (tracked != null) {
                queue.dispatch(tracked, nowMicros);
                expected.flow.poll(nowMicros);
                reference.virtualTime = expected.startTag;
                held.remove(expected);
                assertThat(queue.virtualTime()).isEqualTo(reference.virtualTime);
            }
        }

        private void compareLargestLead(boolean remove) {
            ReferenceFlow expected = reference.flowWithLargestLead(nowMicros);
            assertThat(queue.peek() == null).isEqualTo(expected == null);
            if (expected == null) {
                return;
            }
            Flow flow = queue.flowWithLargestLead(nowMicros);
            assertThat(flow.tenant).as("tenant with the largest lead").isEqualTo(expected.tenant);
            assertThat(flow.lead(nowMicros)).isEqualTo(expected.lead(nowMicros));
            assertThat(flow.lowestWeightRequest()).isSameAs(expected.lowestWeight().counterpart);
            if (remove) {
                removeFromBoth(expected.lowestWeight());
                rejected++;
            }
        }

        private void removeFromBoth(ReferenceRequest tracked) {
            queue.remove(tracked.counterpart, nowMicros);
            tracked.flow.remove(tracked);
            held.remove(tracked);
        }

        /** Advances the virtual time if nothing is held, as at the end of a busy period. */
        private void endBusyPeriod() {
            if (held.isEmpty()) {
                double jump = reference.virtualTime + random.nextInt(3);
                queue.advanceVirtualTime(jump);
                reference.virtualTime = jump;
            }
        }

        private void step() {
            switch (random.nextInt(10)) {
                case 0, 1, 2, 3 -> arrive();
                case 4, 5 -> dispatch();
                case 6 -> compareLargestLead(true);
                case 7 -> compareLargestLead(false);
                case 8 -> {
                    if (!held.isEmpty()) {
                        removeFromBoth(held.get(random.nextInt(held.size())));
                    }
                }
                default -> advanceTime();
            }
            endBusyPeriod();
        }

        private void compareTags() {
            for (ReferenceRequest tracked : held) {
                assertThat(tracked.counterpart.startTag).isEqualTo(tracked.startTag);
                assertThat(tracked.counterpart.finishTag).isEqualTo(tracked.finishTag);
            }
        }

        /** Empties both queues by rejections and then by dispatches, which compares the whole order of the rest. */
        private void drain() {
            for (int remaining = held.size() / 2; remaining > 0; remaining--) {
                compareLargestLead(true);
            }
            while (!held.isEmpty()) {
                dispatch();
            }
            compareLargestLead(false);
            dispatch();
        }
    }

    @Property(tries = 300, seed = "23")
    void matchesScanOfAllFlows(@ForAll long seed) {
        Random random = new Random(seed);
        QueueComparison comparison = new QueueComparison(random, TENANTS[random.nextInt(TENANTS.length)]);
        for (int step = 0; step < 400; step++) {
            comparison.step();
            if (step % 20 == 0) {
                comparison.compareTags();
            }
        }
        comparison.drain();
        assertThat(comparison.rejected).isPositive();
    }

    /**
     * Thousands of requests are held at the same time, and many flows were charged just before, so that their leads
     * decay together.
     */
    @Property(tries = 5, seed = "29")
    void matchesScanWithThousandsOfHeldRequests(@ForAll long seed) {
        QueueComparison comparison = new QueueComparison(new Random(seed), 3_000);
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < 1_500; i++) {
                comparison.arrive();
            }
            for (int i = 0; i < 400; i++) {
                comparison.dispatch();
                comparison.nowMicros += 500;
            }
            for (int i = 0; i < 400; i++) {
                comparison.compareLargestLead(true);
                comparison.nowMicros += i % 3 * 700;
            }
            comparison.compareTags();
        }
        comparison.drain();
    }

    @Test
    void allocatesFlowAtFirstRequestAndQueueWhileRequestsAreHeld() {
        QueueComparison comparison = new QueueComparison(new Random(1), 5);
        Map<Integer, Flow> flows = new HashMap<>();
        for (int tenant = 0; tenant < 5; tenant++) {
            flows.put(tenant, comparison.queue.flow(tenant));
            assertThat(comparison.queue.flow(tenant)).isSameAs(flows.get(tenant));
        }
        assertThat(flows.get(3).queue())
                .as("shared while idle")
                .isSameAs(flows.get(4).queue());
        AdmissionRequest request = new AdmissionRequest(1, 3, 0, 0, 0, 0, false, false, false, 20, 0);
        TrackedRequest tracked = new TrackedRequest(
                request, comparison.settings.classes().get(0), flows.get(3), comparison.nowMicros, 0);
        comparison.queue.enqueue(tracked, 1, comparison.nowMicros);
        assertThat(flows.get(3).queue()).containsExactly(tracked);
        assertThat(flows.get(4).queue()).isEmpty();
        comparison.queue.dispatch(comparison.queue.peek(), comparison.nowMicros);
        assertThat(flows.get(3).queue()).isSameAs(flows.get(4).queue()).isEmpty();
        comparison.queue.enqueue(tracked, 1, comparison.nowMicros);
        comparison.queue.remove(tracked, comparison.nowMicros);
        comparison.queue.remove(tracked, comparison.nowMicros);
        assertThat(flows.get(3).queue()).isSameAs(flows.get(4).queue()).isEmpty();
        assertThat(comparison.queue.peek()).isNull();
    }
}

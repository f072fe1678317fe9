package wheatspread.admission.choice;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

/** The flows with the virtual clock: S = max(v, F_prev), F = S + c/phi. */
abstract class FairQueue extends Memory {
    final double quotas; // what the tenants' quotas come to, in requests a second over the fleet
    private final Flow[] flows;
    double virtualTime, largestServed;

    FairQueue(Settings settings) {
        super(settings);
        List<Tenant> tenants = settings.tenants();
        flows = new Flow[Math.max(1, tenants.size())];
        quotas = tenants.stream().mapToDouble(Tenant::quota).sum();
        boolean told = tenants.stream().allMatch(t -> t.quota() > 0) && quotas > 0;
        for (int i = 0; i < flows.length; i++) {
            flows[i] = new Flow(told ? tenants.get(i).quota() / quotas * flows.length : 1);
        }
    }

    Flow flow(int tenant) {
        return flows[tenant < flows.length && tenant >= 0 ? tenant : 0];
    }

    void enqueue(Job job, double cost) {
        job.cost = cost;
        job.virtualAtArrival = virtualTime;
        job.flow.add(job);
    }

    /** The held request with the smallest start tag is dispatched, and v follows it. */
    void dispatched(Job job) {
        job.flow.poll(now);
        virtualTime = job.start;
    }

    /** The held request with the smallest start tag, or null. */
    Job smallestStart() {
        return waiting().map(flow -> flow.queue.peek()).reduce((a, b) -> b.start < a.start ? b : a).orElse(
            null);
    }

    /** The flow furthest ahead of those that wait, or null. */
    Flow furthestAhead() {
        return waiting().reduce((a, b) -> b.ahead(now) > a.ahead(now) ? b : a).orElse(null);
    }

    private Stream<Flow> waiting() {
        return Arrays.stream(flows).filter(flow -> !flow.queue.isEmpty());
    }
}

package wheatspread.admission.sfq;

import java.util.List;
import wheatspread.admission.AdmissionSettings;
import wheatspread.admission.Tenant;
import wheatspread.heap.IndexedHeap;

/** The flows with the virtual clock: S = max(v, F_prev), F = S + c/phi. Heaps order those that wait. */
abstract class FairQueue extends Memory {
    final double quotas; // what the tenants' quotas come to, in requests a second over the fleet
    private final boolean told; // whether each tenant has a quota
    private final List<Tenant> tenants;
    private final Flow[] flows; // by tenant; null until its first request
    /** Tenants that wait, by the start tag of their first request, and by how far ahead they are, negated. */
    private final IndexedHeap starts, leads;

    double virtualTime, largestServed;

    FairQueue(AdmissionSettings settings) {
        super(settings);
        tenants = settings.tenants();
        flows = new Flow[Math.max(1, tenants.size())];
        starts = new IndexedHeap(flows.length);
        leads = new IndexedHeap(flows.length);
        quotas = tenants.stream().mapToDouble(Tenant::quotaPerSecond).sum();
        told = tenants.stream().allMatch(t -> t.quotaPerSecond() > 0) && quotas > 0;
    }

    Flow flow(int tenant) {
        int index = tenant < flows.length && tenant >= 0 ? tenant : 0;
        if (flows[index] == null) {
            flows[index] = new Flow(index, told ? tenants.get(index).quotaPerSecond() / quotas * flows.length : 1);
        }
        return flows[index];
    }

    void enqueue(Job job, double cost) {
        job.cost = cost;
        job.virtualAtArrival = virtualTime;
        job.flow.add(job);
        reorder(job.flow);
    }

    /** The held request with the smallest start tag is dispatched, and v follows it. */
    void dispatched(Job job) {
        job.flow.poll(now);
        virtualTime = job.start;
        reorder(job.flow);
    }

    /** Takes a request that never ran out of its queue. */
    void dequeue(Job job) {
        job.flow.remove(job);
        reorder(job.flow);
    }

    /** The held request with the smallest start tag, or null. */
    Job smallestStart() {
        return starts.size() == 0 ? null : flows[starts.first()].queue.peek();
    }

    /** The flow furthest ahead of those that wait; there must be one. A lead only decays until its flow changes,
     * so the first, once it stays first with its lead computed anew, is ahead of all others. */
    Flow furthestAhead() {
        Flow flow = flows[leads.first()];
        while (leads.put(flow.tenant, -flow.ahead(now))) {
            flow = flows[leads.first()];
        }
        return flow;
    }

    private void reorder(Flow flow) {
        if (flow.queue.isEmpty()) {
            starts.remove(flow.tenant);
            leads.remove(flow.tenant);
        } else {
            starts.put(flow.tenant, flow.queue.peek().start);
            leads.put(flow.tenant, -flow.ahead(now));
        }
    }
}

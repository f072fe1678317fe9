package wheatspread.admission.sfq;

import java.util.List;
import wheatspread.admission.Tenant;
import wheatspread.heap.IndexedHeap;

/**
 * Start-time fair queuing, which chooses the held request that starts next. Each tenant is a {@link Flow} with the
 * weight phi, which is the tenant's share of the sum of all quotas times the number of tenants, or 1 if any tenant has
 * no quota. The held request with the smallest start tag is dispatched, and the virtual time v becomes its start tag.
 * When the server is idle, v becomes the largest finish tag served. Two heaps order the flows that hold requests, so
 * that a decision takes logarithmic time.
 */
final class FairQueue {
    private final double totalQuotaPerSecond;
    private final boolean weighted;
    private final List<Tenant> tenants;
    /** Flows by tenant; an element is null until the tenant's first request. */
    private final Flow[] flows;
    /** Flows that hold requests, keyed by the start tag of their head. */
    private final IndexedHeap byStartTag;
    /** Flows that hold requests, keyed by their negated lead at their last change. */
    private final IndexedHeap byNegatedLead;

    private double virtualTime;
    private double largestServedFinishTag;

    FairQueue(List<Tenant> tenants) {
        this.tenants = tenants;
        flows = new Flow[Math.max(1, tenants.size())];
        byStartTag = new IndexedHeap(flows.length);
        byNegatedLead = new IndexedHeap(flows.length);
        totalQuotaPerSecond =
                tenants.stream().mapToDouble(Tenant::quotaPerSecond).sum();
        weighted = tenants.stream().allMatch(tenant -> tenant.quotaPerSecond() > 0) && totalQuotaPerSecond > 0;
    }

    /** Returns the sum of the tenants' quotas over the fleet, in requests per second. */
    double totalQuotaPerSecond() {
        return totalQuotaPerSecond;
    }

    double virtualTime() {
        return virtualTime;
    }

    /** Returns the flow of a tenant. Requests of unknown tenants use the flow of tenant 0. */
    Flow flow(int tenant) {
        int index = tenant < flows.length && tenant >= 0 ? tenant : 0;
        if (flows[index] == null) {
            double weight = weighted ? tenants.get(index).quotaPerSecond() / totalQuotaPerSecond * flows.length : 1;
            flows[index] = new Flow(index, weight);
        }
        return flows[index];
    }

    void enqueue(TrackedRequest tracked, double cost, long nowMicros) {
        tracked.flow.add(tracked, cost, virtualTime);
        reorder(tracked.flow, nowMicros);
    }

    /** Returns the held request with the smallest start tag, or null if none is held. */
    TrackedRequest peek() {
        return byStartTag.size() == 0 ? null : flows[byStartTag.first()].head();
    }

    /**
     * Removes the request that {@link #peek} returned from the queue of its flow; v becomes the start tag of the
     * request.
     */
    void dispatch(TrackedRequest tracked, long nowMicros) {
        tracked.flow.dispatchHead(nowMicros);
        virtualTime = tracked.startTag;
        reorder(tracked.flow, nowMicros);
    }

    /** Removes a request that never ran from the queue of its flow; does nothing if the request is not queued. */
    void remove(TrackedRequest tracked, long nowMicros) {
        tracked.flow.remove(tracked);
        reorder(tracked.flow, nowMicros);
    }

    /** Records the finish tag of a request that has ended. */
    void onServed(TrackedRequest tracked) {
        largestServedFinishTag = Math.max(largestServedFinishTag, tracked.finishTag);
    }

    /** Ends a busy period, when no request is held or started. */
    void onIdle() {
        advanceVirtualTime(largestServedFinishTag);
    }

    void advanceVirtualTime(double minVirtualTime) {
        virtualTime = Math.max(virtualTime, minVirtualTime);
    }

    /**
     * Returns the flow with the largest lead among those that hold requests; there must be at least one. Between
     * changes of a flow its lead only decays, so the stored leads are upper bounds: a flow that stays first after its
     * lead is recomputed has the largest lead.
     */
    Flow flowWithLargestLead(long nowMicros) {
        Flow flow = flows[byNegatedLead.first()];
        while (byNegatedLead.put(flow.tenant, -flow.lead(nowMicros))) {
            flow = flows[byNegatedLead.first()];
        }
        return flow;
    }

    private void reorder(Flow flow, long nowMicros) {
        if (flow.isEmpty()) {
            byStartTag.remove(flow.tenant);
            byNegatedLead.remove(flow.tenant);
        } else {
            byStartTag.put(flow.tenant, flow.head().startTag);
            byNegatedLead.put(flow.tenant, -flow.lead(nowMicros));
        }
    }
}

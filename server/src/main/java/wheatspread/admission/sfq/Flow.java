package wheatspread.admission.sfq;

import java.util.ArrayDeque;

/**
 * The FIFO queue and the tags of one tenant. A request gets the start tag S = max(v, F_prev) and the finish tag F = S +
 * c/phi, where v is the virtual time at its arrival, F_prev the finish tag of the request before it, c its cost and phi
 * the weight of the tenant.
 */
final class Flow {
    /** Time constant of the exponential decay of charges for dispatched requests; it spans some tens of runs. */
    private static final double CHARGE_DECAY_MICROS = 2_000_000;

    /** An empty queue that all flows without held requests share to save memory; no request is added to it. */
    private static final ArrayDeque<TrackedRequest> EMPTY = new ArrayDeque<>(0);

    final int tenant;
    private final double weight;
    private ArrayDeque<TrackedRequest> queue = EMPTY;
    private double lastDispatchedFinishTag;
    private double lastQueuedFinishTag;
    /** Sum of the charges of dispatched requests, decayed to {@link #chargedAtMicros}, in virtual time. */
    private double recentCharge;

    private long chargedAtMicros;

    Flow(int tenant, double weight) {
        this.tenant = tenant;
        this.weight = weight;
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    /** Returns the oldest held request, or null if the queue is empty. */
    TrackedRequest head() {
        return queue.peek();
    }

    ArrayDeque<TrackedRequest> queue() {
        return queue;
    }

    void add(TrackedRequest tracked, double cost, double virtualTime) {
        tracked.cost = cost;
        tracked.virtualTimeAtArrival = virtualTime;
        assignTags(tracked);
        queue = queue.isEmpty() ? new ArrayDeque<>() : queue;
        queue.add(tracked);
    }

    private void assignTags(TrackedRequest tracked) {
        tracked.startTag = Math.max(tracked.virtualTimeAtArrival, lastQueuedFinishTag);
        tracked.finishTag = tracked.startTag + tracked.cost / weight;
        lastQueuedFinishTag = tracked.finishTag;
    }

    /** Removes the head from the queue and charges the flow for it. */
    void dispatchHead(long nowMicros) {
        TrackedRequest tracked = queue.poll();
        queue = queue.isEmpty() ? EMPTY : queue;
        lastDispatchedFinishTag = tracked.finishTag;
        recentCharge = recentCharge(nowMicros) + tracked.finishTag - tracked.startTag;
        chargedAtMicros = nowMicros;
    }

    private double recentCharge(long nowMicros) {
        return recentCharge * Math.exp((chargedAtMicros - nowMicros) / CHARGE_DECAY_MICROS);
    }

    /**
     * Returns the lead of this flow in virtual time: the distance from its oldest to its newest start tag plus its
     * recent charges. The queue must not be empty.
     *
     * <p>The finish tag of the newest request alone would be misleading when few requests are held: it includes the
     * charge of that request, but does not show how little the flow used before. With many held requests the two
     * measures agree. A flow that has just begun to flood the server may therefore keep its requests at first.
     */
    double lead(long nowMicros) {
        return recentCharge(nowMicros) + queue.peekLast().startTag - queue.peek().startTag;
    }

    /**
     * Returns the request to shed from this flow: the newest of those with the least weight. The queue must not be
     * empty.
     */
    TrackedRequest lowestWeightRequest() {
        return queue.stream()
                .reduce((older, newer) -> newer.totalWeight() <= older.totalWeight() ? newer : older)
                .orElseThrow();
    }

    /**
     * Removes a request that never ran and recomputes the tags of the requests behind it without its charge. Does
     * nothing if the request is not queued.
     */
    void remove(TrackedRequest tracked) {
        if (queue.remove(tracked)) {
            queue = queue.isEmpty() ? EMPTY : queue;
            lastQueuedFinishTag = lastDispatchedFinishTag;
            queue.forEach(this::assignTags);
        }
    }
}

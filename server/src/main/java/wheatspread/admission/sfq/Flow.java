package wheatspread.admission.sfq;

import java.util.ArrayDeque;

/**
 * One tenant's FIFO queue and tags. A request gets the start tag S = max(v, F_prev) and the finish tag F = S + c/phi:
 * v is the virtual time at its arrival, F_prev the finish tag before it, c its cost and phi the tenant's weight.
 */
final class Flow {
    /** Time constant over which charges for dispatched requests are forgotten: some tens of runs. */
    private static final double CHARGE_DECAY_MICROS = 2_000_000;

    /** The queue of all flows that hold nothing, so that idle ones take little memory; never added to. */
    private static final ArrayDeque<TrackedRequest> EMPTY = new ArrayDeque<>(0);

    final int tenant;
    private final double weight;
    private ArrayDeque<TrackedRequest> queue = EMPTY;
    private double lastDispatchedFinishTag;
    private double lastQueuedFinishTag;
    /** Charges of dispatched requests, decayed to {@link #chargedAtMicros}. */
    private double recentCharge;

    private long chargedAtMicros;

    Flow(int tenant, double weight) {
        this.tenant = tenant;
        this.weight = weight;
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    /** The oldest held request, or null. */
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

    /** Takes the head out of the queue to be started. */
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
     * How far the newest start tag is ahead of the oldest, plus what the flow was charged recently, in virtual time.
     * The last finish tag alone misleads where few requests are held: it counts the newest one's own charge and not
     * how little the flow used just before. With many held the two agree. A flood that has just begun may be spared.
     */
    double lead(long nowMicros) {
        return recentCharge(nowMicros) + queue.peekLast().startTag - queue.peek().startTag;
    }

    /** The request that this flow loses when it has to lose one: the newest of those with the least weight. */
    TrackedRequest lowestWeightRequest() {
        return queue.stream()
                .reduce((older, newer) -> newer.totalWeight() <= older.totalWeight() ? newer : older)
                .orElseThrow();
    }

    /** Takes a request that never ran out of the queue, and its charge off the later tags. */
    void remove(TrackedRequest tracked) {
        if (queue.remove(tracked)) {
            queue = queue.isEmpty() ? EMPTY : queue;
            lastQueuedFinishTag = lastDispatchedFinishTag;
            queue.forEach(this::assignTags);
        }
    }
}

package wheatspread.admission.sfq;

import java.util.ArrayDeque;

/** A tenant's queue and tags. */
final class Flow {
    /** How long what a tenant was served counts when one must be refused; us. Some tens of runs. */
    private static final double SERVED_LATELY = 2_000_000;

    /** The queue of all flows where none waits, so that idle ones take little memory; never added to. */
    private static final ArrayDeque<Job> EMPTY = new ArrayDeque<>(0);

    final int tenant;
    private final double weight;
    ArrayDeque<Job> queue = EMPTY;
    private double dispatchedFinish, lastFinish; // finish tags of the last one dispatched and the last one queued
    private double served; // charges of the lately dispatched, as of the time of the last one
    private long servedAt;

    Flow(int tenant, double weight) {
        this.tenant = tenant;
        this.weight = weight;
    }

    void add(Job job) {
        tag(job);
        queue = queue.isEmpty() ? new ArrayDeque<>() : queue;
        queue.add(job);
    }

    private void tag(Job job) {
        job.start = Math.max(job.virtualAtArrival, lastFinish);
        job.finish = job.start + job.cost / weight;
        lastFinish = job.finish;
    }

    /** The first of the queue is dispatched. */
    void poll(long now) {
        Job job = queue.poll();
        queue = queue.isEmpty() ? EMPTY : queue;
        dispatchedFinish = job.finish;
        served = servedLately(now) + job.finish - job.start;
        servedAt = now;
    }

    private double servedLately(long now) {
        return served * Math.exp((servedAt - now) / SERVED_LATELY);
    }

    /** How far the newest start tag is ahead, counted from what the flow was served lately. Its last finish
     * tag alone misleads where the hold is a few requests: it counts the newest one's own charge and forgets
     * how little a flow used just before. In a long hold they agree. May spare a beginning flood. */
    double ahead(long now) {
        return servedLately(now) + queue.peekLast().start - queue.peek().start;
    }

    /** The design says which flow loses one; of its own, it loses the newest of the least worth. */
    Job leastWorth() {
        return queue.stream().reduce((a, b) -> b.worth() <= a.worth() ? b : a).orElseThrow();
    }

    /** Takes a request that never ran out of the queue, and its charge off the later tags. */
    void remove(Job job) {
        if (queue.remove(job)) {
            queue = queue.isEmpty() ? EMPTY : queue;
            lastFinish = dispatchedFinish;
            queue.forEach(this::tag);
        }
    }
}

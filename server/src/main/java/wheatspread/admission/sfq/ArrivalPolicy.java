package wheatspread.admission.sfq;

import wheatspread.admission.AdmissionController.Actions;

/**
 * Decides whether an arrival is admitted. A duplicate joins the request that it repeats. A request is rejected if it
 * arrived after the drain grace time, if its answer would have no value any more, or if its idempotency key does not
 * fit in memory. Every other request is held.
 */
final class ArrivalPolicy {
    private final DecisionClock clock;
    private final DrainWindow drain;
    private final DuplicatePolicy duplicates;
    private final KeyRetentionPolicy keyRetention;
    private final FairQueue fairQueue;
    private final ServiceTimeEstimator serviceTimes;
    private final LoadShedder shedder;

    ArrivalPolicy(
            DecisionClock clock,
            DrainWindow drain,
            DuplicatePolicy duplicates,
            KeyRetentionPolicy keyRetention,
            FairQueue fairQueue,
            ServiceTimeEstimator serviceTimes,
            LoadShedder shedder) {
        this.clock = clock;
        this.drain = drain;
        this.duplicates = duplicates;
        this.keyRetention = keyRetention;
        this.fairQueue = fairQueue;
        this.serviceTimes = serviceTimes;
        this.shedder = shedder;
    }

    void admit(TrackedRequest tracked, Actions actions) {
        if (duplicates.isDuplicate(tracked)) {
            duplicates.join(tracked, actions);
        } else if (drain.isPastGrace(tracked.arrivalMicros) || tracked.isAnswerUseless(clock.nowMicros())) {
            shedder.reject(tracked, true, actions);
        } else if (!keyRetention.retainOnArrival(tracked, actions)) {
            shedder.reject(tracked, false, actions);
        } else {
            fairQueue.enqueue(tracked, serviceTimes.recordHintAndEstimateCost(tracked), clock.nowMicros());
        }
    }
}

package wheatspread.admission.sfq;

import wheatspread.admission.AdmissionController.Actions;
import wheatspread.admission.Idempotency;

/**
 * Decides whether a duplicate joins the original request instead of running: it does if the original may have run and
 * the class allows duplicates. A duplicate that cannot wait for lack of memory is failed, not rejected, since the work
 * may have been done.
 */
final class DuplicatePolicy {
    private final InFlightRequests inFlight;
    private final MemoryBudget memory;
    private final LoadShedder shedder;
    private final RunTermination termination;

    DuplicatePolicy(InFlightRequests inFlight, MemoryBudget memory, LoadShedder shedder, RunTermination termination) {
        this.inFlight = inFlight;
        this.memory = memory;
        this.shedder = shedder;
        this.termination = termination;
    }

    boolean isDuplicate(TrackedRequest tracked) {
        long originalId = tracked.request.originalId();
        return originalId != 0
                && !shedder.wasRejectedInBatch(originalId)
                && tracked.requestClass.idempotency() != Idempotency.AT_MOST_ONCE;
    }

    void join(TrackedRequest tracked, Actions actions) {
        inFlight.transition(tracked, RequestState.JOINING);
        if (memory.isFull()) {
            termination.abandon(tracked, actions);
        } else {
            actions.joinResult(tracked.id());
        }
    }
}

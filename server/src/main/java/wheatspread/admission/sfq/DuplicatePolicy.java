package wheatspread.admission.sfq;

import wheatspread.admission.AdmissionController.Actions;
import wheatspread.admission.Idempotency;

/**
 * Lets a duplicate join the original request instead of running, if the original may have run and the class allows
 * duplicates. If the memory budget is used up, the duplicate is failed and not rejected, since the work of the original
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

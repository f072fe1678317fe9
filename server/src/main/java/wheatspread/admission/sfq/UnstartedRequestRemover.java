package wheatspread.admission.sfq;

/**
 * Ends the tracking of requests that never ran in this server: held requests, and duplicates that wait for the result
 * of their original request.
 */
final class UnstartedRequestRemover {
    private final DecisionClock clock;
    private final InFlightRequests inFlight;
    private final FairQueue fairQueue;

    UnstartedRequestRemover(DecisionClock clock, InFlightRequests inFlight, FairQueue fairQueue) {
        this.clock = clock;
        this.inFlight = inFlight;
        this.fairQueue = fairQueue;
    }

    void remove(TrackedRequest tracked) {
        fairQueue.remove(tracked, clock.nowMicros());
        inFlight.transition(tracked, RequestState.DONE);
        inFlight.remove(tracked);
    }
}

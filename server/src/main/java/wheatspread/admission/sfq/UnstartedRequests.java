package wheatspread.admission.sfq;

/** Ends the tracking of held and joining requests, which never ran in this server. */
final class UnstartedRequests {
    private final DecisionClock clock;
    private final InFlightRequests inFlight;
    private final FairQueue fairQueue;

    UnstartedRequests(DecisionClock clock, InFlightRequests inFlight, FairQueue fairQueue) {
        this.clock = clock;
        this.inFlight = inFlight;
        this.fairQueue = fairQueue;
    }

    void forget(TrackedRequest tracked) {
        fairQueue.remove(tracked, clock.nowMicros());
        inFlight.transition(tracked, RequestState.DONE);
        inFlight.remove(tracked);
    }
}

package wheatspread.admission.sfq;

import wheatspread.admission.AdmissionRequest;
import wheatspread.admission.Idempotency;
import wheatspread.admission.RequestClass;

/** One request from its arrival to its end. Mutable fields are grouped by the class that writes them. */
final class TrackedRequest {
    final AdmissionRequest request;
    final RequestClass requestClass;
    final Flow flow;
    /** When it reached the machine. */
    final long arrivalMicros;
    /** When its caller stops waiting. */
    final long deadlineMicros;
    /** The latest end that earns the full weight of its class. */
    final long objectiveMicros;

    // Written by Flow.
    double cost;
    double virtualTimeAtArrival;
    double startTag;
    double finishTag;

    // Written by InFlightRequests.
    RequestState state = RequestState.DONE;
    /** How many requests wait for the result of this one. */
    int joiners;

    // Written by RetainedKeys.
    boolean keyRetained;

    // Written by DependencyCallGate.
    /** No further call may be made at the point that the run has reached. */
    boolean callExhausted;
    /** Calls made at the point that the run has reached. */
    int callAttempts;

    // Written by SuspendedRunPolicy.
    /** Whether its run was suspended and resumed before. */
    boolean resumed;

    private boolean answered;
    private long stateSinceMicros;
    private long coreMicros;

    /**
     * Tracks a request that was read.
     *
     * @param nowMicros time of the batch in which it arrived
     * @param clientWaitMicros how long its client waited for earlier attempts; shortens the time to its objective
     */
    TrackedRequest(
            AdmissionRequest request, RequestClass requestClass, Flow flow, long nowMicros, long clientWaitMicros) {
        this.request = request;
        this.requestClass = requestClass;
        this.flow = flow;
        arrivalMicros = nowMicros - request.ageMicros();
        deadlineMicros = request.timeoutMicros() > 0
                ? nowMicros + request.timeoutMicros()
                : arrivalMicros + requestClass.deadlineMicros();
        long objectiveLengthMicros = Math.min(
                requestClass.deadlineMicros(),
                requestClass.latencyObjectiveMicros()
                        + (long) (requestClass.objectiveStretch() * request.expectedWorkMicros()));
        objectiveMicros = Math.min(deadlineMicros, arrivalMicros + objectiveLengthMicros - clientWaitMicros);
        stateSinceMicros = nowMicros;
    }

    long id() {
        return request.id();
    }

    boolean isIdempotent() {
        return requestClass.idempotency() == Idempotency.IDEMPOTENT;
    }

    boolean hasIdempotencyKey() {
        return requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY;
    }

    /** Whether its caller got an answer or went away. */
    boolean isAnswered() {
        return answered;
    }

    void markAnswered() {
        answered = true;
    }

    /** Whether an answer given now would earn nothing. */
    boolean isWorthless(long nowMicros) {
        return nowMicros > objectiveMicros && requestClass.lateWeightFactor() == 0;
    }

    /** The weight that its answer earns, with the requests that wait for the same answer. */
    double totalWeight() {
        return requestClass.weight() * (1 + joiners);
    }

    /** Starts the count of the time in the state that it enters now. */
    void restartStateTimer(long nowMicros) {
        stateSinceMicros = nowMicros;
    }

    long stateSinceMicros() {
        return stateSinceMicros;
    }

    /** Adds the time since the state timer was restarted to its time on the cores. */
    void addCoreTime(long nowMicros) {
        coreMicros += nowMicros - stateSinceMicros;
    }

    /** Time on the cores up to the last pause or end of its run. */
    long coreMicros() {
        return coreMicros;
    }

    /** Time on the cores up to now, for a running request. */
    long coreMicrosUntil(long nowMicros) {
        return coreMicros + nowMicros - stateSinceMicros;
    }
}

package wheatspread.admission.sfq;

import wheatspread.admission.AdmissionRequest;
import wheatspread.admission.Idempotency;
import wheatspread.admission.RequestClass;

/** The state of one request from its arrival to its end. Mutable fields are grouped by the class that writes them. */
final class TrackedRequest {
    final AdmissionRequest request;
    final RequestClass requestClass;
    final Flow flow;
    /** Time at which the request reached the machine. */
    final long arrivalMicros;
    /** Time at which the client stops waiting. */
    final long deadlineMicros;
    /** Latest end of the request that gives the full weight of its class. */
    final long objectiveMicros;

    // Written by Flow.
    double cost;
    double virtualTimeAtArrival;
    double startTag;
    double finishTag;

    // Written by InFlightRequests.
    RequestState state = RequestState.DONE;
    /** Number of duplicates that wait for the result of this request. */
    int joiners;

    // Written by RetainedKeys.
    boolean keyRetained;

    // Written by DependencyCallGate.
    /** Whether no further call may be made at the point that the run has reached. */
    boolean callExhausted;
    /** Number of calls made at the point that the run has reached. */
    int callAttempts;

    // Written by SuspendedRunPolicy.
    /** Whether the run was suspended and resumed before. */
    boolean resumed;

    private boolean answered;
    private long stateSinceMicros;
    private long coreMicros;

    /**
     * Starts tracking a request that was read.
     *
     * @param nowMicros time of the batch in which the request arrived
     * @param clientWaitMicros how long the client has waited for earlier attempts; shortens the time to the objective
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

    /** Returns whether the client got an answer or cancelled the request. */
    boolean isAnswered() {
        return answered;
    }

    void markAnswered() {
        answered = true;
    }

    /** Returns whether an answer given at this time would have no value. */
    boolean isAnswerUseless(long nowMicros) {
        return nowMicros > objectiveMicros && requestClass.lateWeightFactor() == 0;
    }

    /** Returns the weight of the answer, including that of the duplicates that wait for it. */
    double totalWeight() {
        return requestClass.weight() * (1 + joiners);
    }

    void restartStateTimer(long nowMicros) {
        stateSinceMicros = nowMicros;
    }

    long stateSinceMicros() {
        return stateSinceMicros;
    }

    /** Adds the time since the state timer was restarted to the time on the cores. */
    void addCoreTime(long nowMicros) {
        coreMicros += nowMicros - stateSinceMicros;
    }

    /** Returns the time on the cores up to the last pause or the end of the run. */
    long coreMicros() {
        return coreMicros;
    }

    /** Returns the time on the cores up to {@code nowMicros}, for a running request. */
    long coreMicrosUntil(long nowMicros) {
        return coreMicros + nowMicros - stateSinceMicros;
    }
}

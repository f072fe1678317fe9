package wheatspread.admission.sfq;

import wheatspread.admission.AdmissionRequest;
import wheatspread.admission.Idempotency;
import wheatspread.admission.RequestClass;

/** One request in hand; times in us. */
final class Job {
    final AdmissionRequest request;
    final RequestClass kind;
    final Flow flow;
    final long arrival, due, aim;
    double cost, virtualAtArrival, start, finish;
    State state = State.OVER;
    boolean pinned, answered, callSpent, takenUp;
    int joiners, calls;
    long since, onCores;

    Job(AdmissionRequest request, RequestClass kind, Flow flow, long now, long spent) {
        this.request = request;
        this.kind = kind;
        this.flow = flow;
        arrival = now - request.ageMicros();
        due = request.timeoutMicros() > 0 ? now + request.timeoutMicros() : arrival + kind.deadlineMicros();
        long aimLength = Math.min(
                kind.deadlineMicros(),
                kind.latencyObjectiveMicros() + (long) (kind.objectiveStretch() * request.expectedWorkMicros()));
        aim = Math.min(due, arrival + aimLength - spent);
        since = now;
    }

    boolean mayRunAgain() {
        return kind.idempotency() == Idempotency.IDEMPOTENT;
    }

    boolean worthless(long now) {
        return now > aim && kind.lateWeightFactor() == 0;
    }

    /** What its run earns, for those too that wait for its answer. */
    double worth() {
        return kind.weight() * (1 + joiners);
    }

    boolean isBegun() {
        return state == State.RUNNING || state == State.STANDING || state == State.CALLING;
    }

    long id() {
        return request.id();
    }
}

package wheatspread.admission.choice;

import wheatspread.admission.Admission.Effect;
import wheatspread.admission.Admission.Request;
import wheatspread.admission.Admission.RequestClass;

/** One request in hand; times in us. */
final class Job {
    final Request request;
    final RequestClass kind;
    final Flow flow;
    final long arrival, due, aim;
    double cost, virtualAtArrival, start, finish;
    State state = State.OVER;
    boolean pinned, answered, callSpent, takenUp;
    int joiners, calls;
    long since, onCores;

    Job(Request request, RequestClass kind, Flow flow, long now, long spent) {
        this.request = request;
        this.kind = kind;
        this.flow = flow;
        arrival = now - request.age();
        due = request.left() > 0 ? now + request.left() : arrival + kind.deadline();
        long aimLength = Math.min(kind.deadline(), kind.aim() + (long) (kind.aimStretch() * request.hint()));
        aim = Math.min(due, arrival + aimLength - spent);
        since = now;
    }

    boolean mayRunAgain() {
        return kind.effect() == Effect.IDEMPOTENT;
    }

    boolean worthless(long now) {
        return now > aim && kind.lateWorth() == 0;
    }

    /** What its run earns, for those too that wait for its answer. */
    double worth() {
        return kind.worth() * (1 + joiners);
    }

    boolean isBegun() {
        return state == State.RUNNING || state == State.STANDING || state == State.CALLING;
    }

    long id() {
        return request.id();
    }
}

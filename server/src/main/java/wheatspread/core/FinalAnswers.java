package wheatspread.core;

import java.util.ArrayList;
import java.util.List;
import wheatspread.admission.Outcome;

/** What ends a try: its one final answer, the end of its run, and what becomes of its key and its joiners. */
final class FinalAnswers {
    private final AttemptTable table;
    private final IdempotencyTable keys;
    private final RequestCounters counts;
    private final EventBatcher batches;
    private final Clock clock;
    /** The free value that goes with answers and checks; NaN where none is set. */
    private double feedback = Double.NaN;

    FinalAnswers(AttemptTable table, IdempotencyTable keys, RequestCounters counts, EventBatcher batches, Clock clock) {
        this.table = table;
        this.keys = keys;
        this.counts = counts;
        this.batches = batches;
        this.clock = clock;
    }

    double feedback() {
        return feedback;
    }

    void advise(double value) {
        feedback = value;
    }

    /** The one place that gives a final answer, once. */
    void finish(Attempt one, Answer.Kind kind, byte[] body, long later, boolean last) {
        Reply reply = one.reply;
        if (reply != null) {
            one.reply = null;
            one.dueTimer.cancel();
            counts.count(one.submission.requestClass(), kind);
            reply.answer(new Answer(kind, body, later, last, feedback));
        }
        letGo(one);
    }

    /** A request is failed when it is due, even if nothing else happens. */
    void due(Attempt one) {
        if (!one.answered()) {
            counts.overdue++;
            batches.event(m -> m.onCancellation(one.number));
            finish(one, Answer.Kind.DEADLINE_EXCEEDED, null, 0, false);
        }
    }

    /** Once nobody waits: its call is given up, and it leaves the table unless its run goes on. */
    void letGo(Attempt one) {
        DependencyCalls.drop(one);
        if (one.joinedAt > 0 && one.entry != null) {
            one.entry.owner.joiners.remove(one);
        }
        if (one.run == Attempt.Run.PAUSED && one.answered()) {
            settle(one, Kernel.End.STOPPED, null); // nothing will take it up again
        } else if (one.run == Attempt.Run.NONE || one.run == Attempt.Run.ENDED) {
            release(one);
            table.remove(one);
        }
    }

    /** A try that ended without a run gives its key free; none of those that wait for it ran either. */
    void release(Attempt one) {
        if (one.everRan() || one.entry == null || one.entry.owner != one) {
            return;
        }
        keys.remove(one.entry);
        List<Attempt> waiting = new ArrayList<>(one.joiners);
        one.joiners.clear();
        for (Attempt joiner : waiting) {
            batches.event(m -> m.onCompletion(joiner.number, Outcome.FAILED, clock.nowMicros() - joiner.joinedAt));
            finish(joiner, Answer.Kind.REJECTED, null, 0, false);
        }
    }

    // ---- how a run ended ----

    void over(Attempt one, Kernel.End end, byte[] result, Outcome outcome, long took) {
        batches.event(m -> m.onCompletion(one.number, outcome, took));
        settle(one, end, result);
    }

    /** Notes how a run ended, and answers it and all that wait for its result. */
    void settle(Attempt one, Kernel.End end, byte[] result) {
        one.run = Attempt.Run.ENDED;
        boolean ok = end == Kernel.End.OK;
        if (one.entry != null && one.entry.owner == one) {
            one.entry.end = end;
            one.entry.result = result;
        }
        finish(one, ok ? Answer.Kind.SERVED : Answer.Kind.FAILED, result, 0, false);
        for (Attempt joiner : new ArrayList<>(one.joiners)) {
            joined(joiner, end, result);
        }
        one.joiners.clear();
        table.remove(one);
    }

    void joined(Attempt joiner, Kernel.End end, byte[] result) {
        boolean ok = end == Kernel.End.OK;
        long took = clock.nowMicros() - joiner.joinedAt;
        batches.event(m -> m.onCompletion(joiner.number, ok ? Outcome.OK : Outcome.FAILED, took));
        finish(joiner, ok ? Answer.Kind.SERVED : Answer.Kind.FAILED, result, 0, false);
    }
}

package wheatspread.core;

import java.util.List;
import wheatspread.admission.Outcome;

/**
 * Ends attempts: gives each its one final answer, records how its run ended, hands the result to the attempts that
 * joined it, and removes it once neither answer nor run is open. Owned by the core's thread.
 */
final class FinalAnswers {
    private final AttemptTable attempts;
    private final IdempotencyTable idempotencyTable;
    private final RequestCounters counters;
    private final EventBatcher events;
    private final Clock clock;
    private double loadFeedback = Double.NaN;

    FinalAnswers(CoreContext context) {
        attempts = context.attempts();
        idempotencyTable = context.idempotencyTable();
        counters = context.counters();
        events = context.events();
        clock = context.clock();
    }

    /** The load feedback that goes with answers and health checks; NaN where none is set. */
    double loadFeedback() {
        return loadFeedback;
    }

    void setLoadFeedback(double value) {
        loadFeedback = value;
    }

    // ---- answers ----

    /** An answer without a result or advice. */
    Answer plainAnswer(Answer.Kind kind) {
        return new Answer(kind, null, 0, false, loadFeedback);
    }

    /** An answer with advice on retries: how long to wait, and whether to retry at all. */
    Answer answerWithAdvice(Answer.Kind kind, long retryAfterMicros, boolean doNotRetry) {
        return new Answer(kind, null, retryAfterMicros, doNotRetry, loadFeedback);
    }

    /** Gives an attempt a final answer without a result, unless it has been answered. */
    void finish(Attempt attempt, Answer.Kind kind) {
        finish(attempt, plainAnswer(kind));
    }

    /** Gives an attempt its final answer, unless it has been answered, and lets it go. */
    void finish(Attempt attempt, Answer answer) {
        Reply reply = attempt.takeReply();
        if (reply != null) {
            counters.answered(attempt.request().requestClass(), answer.kind());
            reply.answer(answer);
        }
        letGo(attempt);
    }

    private void finishWithResult(Attempt attempt, Kernel.End end, byte[] result) {
        Answer.Kind kind = end == Kernel.End.OK ? Answer.Kind.SERVED : Answer.Kind.FAILED;
        finish(attempt, new Answer(kind, result, 0, false, loadFeedback));
    }

    /** Fails an attempt at its deadline, or before the process stops, if it is still unanswered. */
    void failAtDeadline(Attempt attempt) {
        if (!attempt.answered()) {
            counters.deadlineExceeded();
            events.add(controller -> controller.onCancellation(attempt.id()));
            finish(attempt, Answer.Kind.DEADLINE_EXCEEDED);
        }
    }

    /** Fails all attempts that are still unanswered. */
    void failAllUnanswered() {
        attempts.unanswered().forEach(this::failAtDeadline);
    }

    /**
     * Frees what an attempt holds once it is answered: its dependency call is cancelled, and it leaves the table
     * unless its run goes on.
     */
    void letGo(Attempt attempt) {
        attempt.dependencyCall().cancel();
        if (attempt.joined() && attempt.keyEntry() != null) {
            attempt.keyEntry().owner().removeJoiner(attempt);
        }
        if (attempt.suspended() && attempt.answered()) {
            recordEnd(attempt, Kernel.End.STOPPED, null); // nothing will resume it
        } else if (!attempt.hasOpenRun()) {
            releaseKeyIfNeverRan(attempt);
            attempts.remove(attempt);
        }
    }

    /** Frees the key of an attempt that ended without a run, and rejects those that joined it: none of them ran. */
    void releaseKeyIfNeverRan(Attempt attempt) {
        if (attempt.everRan() || !attempt.ownsKeyEntry()) {
            return;
        }
        idempotencyTable.remove(attempt.keyEntry());
        List<Attempt> joiners = attempt.joiners();
        attempt.clearJoiners();
        for (Attempt joiner : joiners) {
            // the time is taken when the controller is given the event
            events.add(controller -> controller.onCompletion(joiner.id(), Outcome.FAILED, elapsedSinceJoin(joiner)));
            finish(joiner, Answer.Kind.REJECTED);
        }
    }

    // ---- ends of runs ----

    /** Reports the end of a run to the admission controller, and answers what waits for it. */
    void endRun(Attempt attempt, Kernel.End end, byte[] result, long elapsedMicros) {
        Outcome outcome = outcomeOf(end);
        events.add(controller -> controller.onCompletion(attempt.id(), outcome, elapsedMicros));
        recordEnd(attempt, end, result);
    }

    private static Outcome outcomeOf(Kernel.End end) {
        return switch (end) {
            case OK -> Outcome.OK;
            case ERROR -> Outcome.FAILED;
            case STOPPED -> Outcome.CANCELED;
            case IGNORED -> Outcome.IGNORED;
        };
    }

    private void recordEnd(Attempt attempt, Kernel.End end, byte[] result) {
        attempt.runEnded();
        if (attempt.ownsKeyEntry()) {
            attempt.keyEntry().runEnded(end, result);
        }
        finishWithResult(attempt, end, result);
        for (Attempt joiner : attempt.joiners()) {
            endJoin(joiner, end, result);
        }
        attempt.clearJoiners();
        attempts.remove(attempt);
    }

    // ---- shared results ----

    /** Answers an attempt with the result of the owner of its key, at once or when the owner's run ends. */
    void join(Attempt attempt) {
        counters.joined();
        attempt.joinAt(clock.nowMicros());
        IdempotencyTable.Entry entry = attempt.keyEntry();
        if (entry.end() != null) {
            endJoin(attempt, entry.end(), entry.result());
        } else {
            entry.owner().addJoiner(attempt);
        }
    }

    private void endJoin(Attempt joiner, Kernel.End end, byte[] result) {
        Outcome outcome = end == Kernel.End.OK ? Outcome.OK : Outcome.FAILED;
        long elapsedMicros = elapsedSinceJoin(joiner);
        events.add(controller -> controller.onCompletion(joiner.id(), outcome, elapsedMicros));
        finishWithResult(joiner, end, result);
    }

    private long elapsedSinceJoin(Attempt joiner) {
        return clock.nowMicros() - joiner.joinedAtMicros();
    }
}

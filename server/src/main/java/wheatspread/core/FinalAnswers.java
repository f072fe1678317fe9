package wheatspread.core;

import java.util.List;
import wheatspread.admission.Outcome;

/**
 * Ends attempts: sends each attempt its single final answer, records how its run ended, passes the result to the
 * attempts that joined the attempt, and removes the attempt once it is answered and has no open run. Owned by the
 * core's thread.
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

    /** Returns the load feedback value sent with answers and health checks; NaN if none is set. */
    double loadFeedback() {
        return loadFeedback;
    }

    void setLoadFeedback(double value) {
        loadFeedback = value;
    }

    // ---- answers ----

    /** Returns an answer without a result or retry advice. */
    Answer plainAnswer(Answer.Kind kind) {
        return new Answer(kind, null, 0, false, loadFeedback);
    }

    /** Returns an answer with retry advice: how long to wait, in microseconds, and whether to retry at all. */
    Answer answerWithAdvice(Answer.Kind kind, long retryAfterMicros, boolean doNotRetry) {
        return new Answer(kind, null, retryAfterMicros, doNotRetry, loadFeedback);
    }

    /** Sends an attempt a final answer without a result, unless it has been answered. */
    void finish(Attempt attempt, Answer.Kind kind) {
        finish(attempt, plainAnswer(kind));
    }

    /** Sends an attempt its final answer, unless it has been answered, and releases its resources. */
    void finish(Attempt attempt, Answer answer) {
        Reply reply = attempt.takeReply();
        if (reply != null) {
            counters.answered(attempt.request().requestClass(), answer.kind());
            reply.answer(answer);
        }
        releaseResources(attempt);
    }

    private void finishWithResult(Attempt attempt, Kernel.End end, byte[] result) {
        Answer.Kind kind = end == Kernel.End.OK ? Answer.Kind.SERVED : Answer.Kind.FAILED;
        finish(attempt, new Answer(kind, result, 0, false, loadFeedback));
    }

    /** Fails an unanswered attempt with {@code DEADLINE_EXCEEDED}, at its deadline or before the process stops. */
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
     * Releases the resources of an answered attempt: cancels its dependency call, and removes the attempt from the
     * table unless its run continues.
     */
    void releaseResources(Attempt attempt) {
        attempt.dependencyCall().cancel();
        if (attempt.joined() && attempt.keyEntry() != null) {
            attempt.keyEntry().owner().removeJoiner(attempt);
        }
        if (attempt.suspended() && attempt.answered()) {
            recordEnd(attempt, Kernel.End.STOPPED, null); // a suspended run of an answered attempt is never resumed
        } else if (!attempt.hasOpenRun()) {
            releaseKeyIfNeverRan(attempt);
            attempts.remove(attempt);
        }
    }

    /** Removes the key of an attempt that ended without a run, and rejects its joiners, none of which ran. */
    void releaseKeyIfNeverRan(Attempt attempt) {
        if (attempt.everRan() || !attempt.ownsKeyEntry()) {
            return;
        }
        idempotencyTable.remove(attempt.keyEntry());
        List<Attempt> joiners = attempt.joiners();
        attempt.clearJoiners();
        for (Attempt joiner : joiners) {
            // the elapsed time is read when the event is passed to the controller
            events.add(controller -> controller.onCompletion(joiner.id(), Outcome.FAILED, elapsedSinceJoin(joiner)));
            finish(joiner, Answer.Kind.REJECTED);
        }
    }

    // ---- ends of runs ----

    /** Reports the end of a run to the admission controller, and answers the attempt and its joiners. */
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

    /** Answers an attempt with the result of its key's owner, immediately or when the owner's run ends. */
    void join(Attempt attempt) {
        counters.joined();
        attempt.markJoined(clock.nowMicros());
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

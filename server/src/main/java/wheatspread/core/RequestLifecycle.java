package wheatspread.core;

import wheatspread.admission.AdmissionController;
import wheatspread.admission.AdmissionRequest;
import wheatspread.admission.Idempotency;

/**
 * Takes attempts from the fronts, hands them to the admission controller, and ends those whose client disconnected
 * or whose front closes. Owned by the core's thread.
 */
final class RequestLifecycle {
    /** The core fails an unanswered attempt this long before its deadline, whatever the controller does. */
    private static final long DEADLINE_MARGIN_MICROS = 5_000;
    /** With so many attempts in flight new ones are rejected: a bound on memory, far above usual load. */
    private static final int MAX_IN_FLIGHT = 2_000;

    private final Clock clock;
    private final ActiveSettings settings;
    private final DrainState drain;
    private final AttemptTable attempts;
    private final IdempotencyTable idempotencyTable;
    private final RequestCounters counters;
    private final EventBatcher events;
    private final FinalAnswers answers;

    RequestLifecycle(CoreContext context, FinalAnswers answers) {
        clock = context.clock();
        settings = context.settings();
        drain = context.drain();
        attempts = context.attempts();
        idempotencyTable = context.idempotencyTable();
        counters = context.counters();
        events = context.events();
        this.answers = answers;
    }

    /** Takes in an attempt; see {@link Core#submit}. */
    Long submit(InboundRequest request, Reply reply) {
        counters.received();
        long remainingMicros = request.deadlineMicros() - DEADLINE_MARGIN_MICROS - clock.nowMicros();
        if (!events.started() || remainingMicros <= 0 || attempts.size() >= MAX_IN_FLIGHT) {
            answerAtOnce(request.requestClass(), reply, answers.plainAnswer(Answer.Kind.REJECTED));
            return null;
        }
        if (attempts.byJob(request.job()) != null) {
            answerAtOnce(request.requestClass(), reply, answers.plainAnswer(Answer.Kind.CONFLICT));
            return null;
        }
        // its last byte came now, whenever its first one did
        Attempt attempt = attempts.add(request, reply, drain.isPastGrace(clock.nowMicros()));
        attempt.setDeadlineTimer(clock.schedule(remainingMicros, () -> answers.failAtDeadline(attempt)));
        events.add(controller -> arrive(controller, attempt));
        return attempt.id();
    }

    /** Rejects an attempt that is not taken in, because a limit of its front was reached. */
    void rejectUnread(int requestClass, Reply reply, long retryAfterMicros) {
        counters.received();
        long adviceMicros = Math.min(retryAfterMicros, settings.maxRetryAfterMicros());
        answerAtOnce(requestClass, reply, answers.answerWithAdvice(Answer.Kind.REJECTED, adviceMicros, false));
    }

    private void answerAtOnce(int requestClass, Reply reply, Answer answer) {
        counters.answered(requestClass, answer.kind());
        reply.answer(answer);
    }

    /** Finds the attempt's idempotency key, and hands it to the controller unless it is answered already. */
    private void arrive(AdmissionController controller, Attempt attempt) {
        InboundRequest request = attempt.request();
        boolean hasKey = request.idempotencyKey() != null;
        IdempotencyTable.Entry duplicated = idempotencyTable.find(request, events.nowMicros());
        attempt.setKeyEntry(duplicated == null && hasKey ? idempotencyTable.put(attempt) : duplicated);
        if (attempt.answered()) {
            // its client disconnected, or its deadline passed, before the controller saw it
            answers.releaseKeyIfNeverRan(attempt);
        } else if (hasKey && duplicated != null && !duplicated.hasSameBody(request)) {
            // the result for that key was made of another body, and is not for this client
            answers.finish(attempt, Answer.Kind.CONFLICT);
        } else {
            controller.onArrival(admissionRequest(attempt, duplicated));
        }
    }

    private AdmissionRequest admissionRequest(Attempt attempt, IdempotencyTable.Entry duplicated) {
        InboundRequest request = attempt.request();
        long nowMicros = events.nowMicros();
        boolean write = settings.requestClass(request.requestClass()).idempotency() != Idempotency.IDEMPOTENT;
        return new AdmissionRequest(
                attempt.id(),
                request.tenant(),
                request.requestClass(),
                Math.max(0, nowMicros - request.arrivalMicros()),
                request.hasClientTimeout() ? Math.max(1, request.deadlineMicros() - nowMicros) : 0,
                duplicated == null ? 0 : duplicated.owner().id(),
                request.retry(),
                request.cacheKey() != null,
                write,
                request.heldKb(),
                request.expectedWorkMicros());
    }

    /** The client of an attempt disconnected or cancelled it. */
    void cancel(Long id) {
        Attempt attempt = unanswered(id);
        if (attempt == null) {
            return;
        }
        counters.cancelled();
        attempt.takeReply();
        events.add(controller -> controller.onCancellation(attempt.id()));
        answers.letGo(attempt);
    }

    /** Rejects an attempt that never ran and joined no other, since its client can send nothing more. */
    void rejectUnlessStarted(Long id) {
        Attempt attempt = unanswered(id);
        if (attempt != null && !attempt.everRan() && !attempt.joined()) {
            events.add(controller -> controller.onCancellation(attempt.id()));
            answers.finish(attempt, Answer.Kind.REJECTED);
        }
    }

    private Attempt unanswered(Long id) {
        Attempt attempt = id == null ? null : attempts.byId(id);
        return attempt == null || attempt.answered() ? null : attempt;
    }

    /** Answers all unanswered attempts now: those that never ran are rejected, the others fail. */
    void answerAll() {
        for (Attempt attempt : attempts.unanswered()) {
            Answer.Kind kind = attempt.everRan() || attempt.joined() ? Answer.Kind.FAILED : Answer.Kind.REJECTED;
            events.add(controller -> controller.onCancellation(attempt.id()));
            answers.finish(attempt, answers.answerWithAdvice(kind, 0, true));
        }
    }
}

package wheatspread.core;

import wheatspread.admission.AdmissionController;
import wheatspread.admission.AdmissionRequest;
import wheatspread.admission.Idempotency;

/**
 * Accepts attempts from the fronts, passes them to the admission controller, and ends those whose client
 * disconnected or whose front closes. Owned by the core's thread.
 */
final class RequestLifecycle {
    /** The core fails an unanswered attempt this long before its deadline, whatever the controller does. */
    private static final long DEADLINE_MARGIN_MICROS = 5_000;
    /** New attempts are rejected at this number of attempts in flight. Bounds memory, far above the usual load. */
    private static final int MAX_IN_FLIGHT = 2_000;

    private final Clock clock;
    private final ActiveSettings settings;
    private final DrainState drain;
    private final AttemptTable attempts;
    private final StartedAttempts startedAttempts;
    private final IdempotencyTable idempotencyTable;
    private final RequestCounters counters;
    private final EventBatcher events;
    private final FinalAnswers answers;

    RequestLifecycle(CoreContext context, FinalAnswers answers) {
        clock = context.clock();
        settings = context.settings();
        drain = context.drain();
        attempts = context.attempts();
        startedAttempts = context.startedAttempts();
        idempotencyTable = context.idempotencyTable();
        counters = context.counters();
        events = context.events();
        this.answers = answers;
    }

    /** See {@link Core#submit}. */
    Long submit(InboundRequest request, Reply reply) {
        counters.received();
        long remainingMicros = request.deadlineMicros() - DEADLINE_MARGIN_MICROS - clock.nowMicros();
        if (!events.started() || remainingMicros <= 0 || attempts.size() >= MAX_IN_FLIGHT) {
            answerImmediately(request.requestClass(), reply, answers.plainAnswer(Answer.Kind.REJECTED));
            return null;
        }
        if (attempts.byJob(request.job()) != null || startedAttempts.contains(request.job(), clock.nowMicros())) {
            counters.attemptRepeated();
            answerImmediately(request.requestClass(), reply, answers.plainAnswer(Answer.Kind.CONFLICT));
            return null;
        }
        // the grace applies to the last byte of the request, which has just arrived
        Attempt attempt = attempts.add(request, reply, drain.isPastGrace(clock.nowMicros()));
        attempt.setDeadlineTimer(clock.schedule(remainingMicros, () -> answers.failAtDeadline(attempt)));
        events.add(controller -> handleArrival(controller, attempt));
        return attempt.id();
    }

    /** See {@link Core#reject}. */
    void rejectUnread(int requestClass, Reply reply, long retryAfterMicros) {
        counters.received();
        long adviceMicros = Math.min(retryAfterMicros, settings.maxRetryAfterMicros());
        answerImmediately(requestClass, reply, answers.answerWithAdvice(Answer.Kind.REJECTED, adviceMicros, false));
    }

    private void answerImmediately(int requestClass, Reply reply, Answer answer) {
        counters.answered(requestClass, answer.kind());
        reply.answer(answer);
    }

    /** Looks up the attempt's key, and passes the attempt to the controller unless it has been answered. */
    private void handleArrival(AdmissionController controller, Attempt attempt) {
        InboundRequest request = attempt.request();
        boolean hasKey = request.idempotencyKey() != null;
        IdempotencyTable.Entry duplicatedEntry = idempotencyTable.find(request, events.nowMicros());
        attempt.setKeyEntry(duplicatedEntry == null && hasKey ? idempotencyTable.put(attempt) : duplicatedEntry);
        if (attempt.answered()) {
            // the client disconnected, or the deadline passed, before the batch reached the controller
            answers.releaseKeyIfNeverRan(attempt);
        } else if (hasKey && duplicatedEntry != null && !duplicatedEntry.hasSameBody(request)) {
            // the key belongs to a request with another body, whose result must not go to this client
            answers.finish(attempt, Answer.Kind.CONFLICT);
        } else {
            controller.onArrival(admissionRequest(attempt, duplicatedEntry));
        }
    }

    private AdmissionRequest admissionRequest(Attempt attempt, IdempotencyTable.Entry duplicatedEntry) {
        InboundRequest request = attempt.request();
        long nowMicros = events.nowMicros();
        boolean write = settings.requestClass(request.requestClass()).idempotency() != Idempotency.IDEMPOTENT;
        return new AdmissionRequest(
                attempt.id(),
                request.tenant(),
                request.requestClass(),
                Math.max(0, nowMicros - request.arrivalMicros()),
                request.hasClientTimeout() ? Math.max(1, request.deadlineMicros() - nowMicros) : 0,
                duplicatedEntry == null ? 0 : duplicatedEntry.owner().id(),
                request.retry(),
                request.cacheKey() != null,
                write,
                request.heldKb(),
                request.expectedWorkMicros());
    }

    /** See {@link Core#cancel}. */
    void cancel(Long id) {
        Attempt attempt = findUnanswered(id);
        if (attempt == null) {
            return;
        }
        counters.cancelled();
        attempt.takeReply();
        events.add(controller -> controller.onCancellation(attempt.id()));
        answers.releaseResources(attempt);
    }

    /** Rejects an attempt that never ran and joined no other attempt, after its client closed its sending side. */
    void rejectUnlessStarted(Long id) {
        Attempt attempt = findUnanswered(id);
        if (attempt != null && !attempt.everRan() && !attempt.joined()) {
            events.add(controller -> controller.onCancellation(attempt.id()));
            answers.finish(attempt, Answer.Kind.REJECTED);
        }
    }

    /** Returns the attempt in flight with this id; null if there is none or it has been answered. */
    private Attempt findUnanswered(Long id) {
        Attempt attempt = id == null ? null : attempts.byId(id);
        return attempt == null || attempt.answered() ? null : attempt;
    }

    /** Answers all unanswered attempts: those that neither ran nor joined another attempt are rejected, others fail. */
    void answerAll() {
        for (Attempt attempt : attempts.unanswered()) {
            Answer.Kind kind = attempt.everRan() || attempt.joined() ? Answer.Kind.FAILED : Answer.Kind.REJECTED;
            events.add(controller -> controller.onCancellation(attempt.id()));
            answers.finish(attempt, answers.answerWithAdvice(kind, 0, true));
        }
    }
}

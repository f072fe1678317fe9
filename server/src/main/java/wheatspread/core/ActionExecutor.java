package wheatspread.core;

import java.util.function.LongConsumer;
import wheatspread.admission.AdmissionController;
import wheatspread.admission.Idempotency;
import wheatspread.admission.Outcome;
import wheatspread.admission.RequestClass;
import wheatspread.logging.EventLog;

/**
 * Carries out the admission controller's actions. Ignores actions on attempts that have ended, and enforces two
 * invariants whatever the controller decides: each idempotency key has at most one run within the idempotency window
 * of its request class, and a request that arrived after the drain grace has none.
 */
final class ActionExecutor implements AdmissionController.Actions {
    /** If the controller fails an attempt this close to its deadline, the answer is {@code DEADLINE_EXCEEDED}. */
    private static final long NEAR_DEADLINE_MICROS = 100_000;

    private final EventLog log;
    private final ActiveSettings settings;
    private final DrainState drain;
    private final AttemptTable attempts;
    private final StartedAttempts startedAttempts;
    private final IdempotencyTable idempotencyTable;
    private final RequestCounters counters;
    private final Kernel kernel;
    private final EventBatcher events;
    private final FinalAnswers answers;
    private final DependencyCalls dependencyCalls;
    private final HealthState health;
    private LongConsumer idleConnectionCloser = idleMicros -> {};

    ActionExecutor(CoreContext context, FinalAnswers answers, DependencyCalls dependencyCalls, HealthState health) {
        log = context.log();
        settings = context.settings();
        drain = context.drain();
        attempts = context.attempts();
        startedAttempts = context.startedAttempts();
        idempotencyTable = context.idempotencyTable();
        counters = context.counters();
        kernel = context.kernel();
        events = context.events();
        this.answers = answers;
        this.dependencyCalls = dependencyCalls;
        this.health = health;
    }

    /** Sets the function that closes the connections idle for at least the given number of microseconds. */
    void setIdleConnectionCloser(LongConsumer closer) {
        idleConnectionCloser = closer;
    }

    @Override
    public void run(long id) {
        Attempt attempt = attempts.byId(id);
        if (attempt == null || attempt.answered() && !attempt.everRan()) {
            reportIgnored(id);
        } else if (attempt.suspended()) {
            resume(attempt);
        } else if (!attempt.everRan()) {
            start(attempt);
        }
    }

    private void reportIgnored(long id) {
        events.add(controller -> controller.onCompletion(id, Outcome.IGNORED, 0));
    }

    private void resume(Attempt attempt) {
        attempt.runResumed();
        counters.runResumed();
        kernel.resume(attempt.job());
    }

    private void start(Attempt attempt) {
        if (idempotencyTable.isDuplicate(attempt, events.nowMicros())) {
            // another attempt with this key has run or is running: this attempt must neither run nor be rejected
            joinResult(attempt.id());
        } else if (isPastGrace(attempt)) {
            reportIgnored(attempt.id());
            answers.finish(attempt, Answer.Kind.REJECTED);
        } else if (!claimRun(attempt)) {
            reportIgnored(attempt.id());
            answers.finish(attempt, answerIfClaimedElsewhere(attempt));
        } else {
            InboundRequest request = attempt.request();
            attempt.runStarted();
            counters.runStarted();
            RequestClass requestClass = settings.requestClass(request.requestClass());
            kernel.run(
                    request.job(),
                    settings.className(request.requestClass()),
                    requestClass.idempotency(),
                    request.body());
        }
    }

    /** Returns whether a request arrived after the drain grace; it must not run. */
    private boolean isPastGrace(Attempt attempt) {
        return attempt.receivedAfterGrace()
                || drain.isPastGrace(attempt.request().arrivalMicros());
    }

    /**
     * Claims the idempotency key for the run of an attempt, or the attempt id if its request has no key and may take
     * effect only once. Returns false if during an upgrade the server's other process has claimed it.
     */
    private boolean claimRun(Attempt attempt) {
        InboundRequest request = attempt.request();
        RequestClass requestClass = settings.requestClass(request.requestClass());
        if (requestClass.idempotency() != Idempotency.AT_MOST_ONCE) {
            return idempotencyTable.claim(attempt);
        }
        startedAttempts.add(attempt.job(), events.nowMicros(), requestClass.deadlineMicros());
        return idempotencyTable.claimAttempt(request, requestClass.deadlineMicros());
    }

    /**
     * Returns the answer to an attempt whose key or id another process has claimed. With a key the attempt is rejected,
     * which promises only that this attempt never ran; with its id claimed, the attempt itself may have run.
     */
    private Answer.Kind answerIfClaimedElsewhere(Attempt attempt) {
        if (attempt.request().idempotencyKey() != null) {
            return Answer.Kind.REJECTED;
        }
        counters.attemptRepeated();
        return Answer.Kind.CONFLICT;
    }

    @Override
    public void reject(long id, long retryAfterMicros, boolean doNotRetry) {
        Attempt attempt = attempts.byId(id);
        if (attempt != null) {
            Answer.Kind kind = attempt.everRan() ? Answer.Kind.FAILED : Answer.Kind.REJECTED;
            answers.finish(attempt, answers.answerWithAdvice(kind, retryAfterMicros, doNotRetry));
        }
    }

    @Override
    public void fail(long id) {
        Attempt attempt = attempts.byId(id);
        if (attempt != null) {
            Answer.Kind kind = isLate(attempt.request()) ? Answer.Kind.DEADLINE_EXCEEDED : Answer.Kind.FAILED;
            answers.finish(attempt, kind);
        }
    }

    /** Returns whether a request has missed its class's latency objective, or is close to its deadline. */
    private boolean isLate(InboundRequest request) {
        RequestClass requestClass = settings.requestClass(request.requestClass());
        long nowMicros = events.nowMicros();
        return nowMicros > request.arrivalMicros() + requestClass.latencyObjectiveMicros()
                || nowMicros > request.deadlineMicros() - NEAR_DEADLINE_MICROS;
    }

    @Override
    public void preempt(long id) {
        Attempt attempt = attempts.byId(id);
        // the controller repeats the preemption at every tick until the stop is confirmed; the kernel gets it once
        if (attempt != null && attempt.requestSuspension()) {
            kernel.suspend(attempt.job());
        }
    }

    @Override
    public void callDependency(long id, long timeoutMicros) {
        Attempt attempt = attempts.byId(id);
        if (attempt == null || !attempt.dependencyCall().isAwaited() || attempt.answered()) {
            return; // for an answered attempt the kernel ends the run that waits for this call, and reports the end
        }
        dependencyCalls.start(attempt, timeoutMicros);
    }

    @Override
    public void skipDependency(long id) {
        Attempt attempt = attempts.byId(id);
        if (attempt != null && attempt.dependencyCall().isAwaited()) {
            dependencyCalls.skip(attempt);
        }
    }

    @Override
    public void retainKey(long id, long ttlMicros) {
        Attempt attempt = attempts.byId(id);
        if (attempt != null) {
            long nowMicros = events.nowMicros();
            idempotencyTable.ensureValidEntry(attempt, nowMicros);
            attempt.keyEntry().retainUntil(nowMicros + ttlMicros);
        }
    }

    @Override
    public void releaseKey(long id) {
        Attempt attempt = attempts.byId(id);
        if (attempt != null && attempt.ownsKeyEntry()) {
            attempt.keyEntry().release();
        }
    }

    @Override
    public void joinResult(long id) {
        Attempt attempt = attempts.byId(id);
        if (attempt != null && !attempt.answered()) {
            answers.join(attempt);
        }
    }

    @Override
    public void setHealth(boolean healthy, boolean stored) {
        health.update(healthy);
    }

    @Override
    public void setLoadFeedback(double value) {
        answers.setLoadFeedback(value);
    }

    @Override
    public void setIdleTimeout(long idleMicros) {
        idleConnectionCloser.accept(idleMicros);
    }

    @Override
    public void scheduleWakeup(long delayMicros) {
        events.scheduleWakeup(delayMicros);
    }

    @Override
    public void log(String text) {
        log.info("admission", "text", text);
    }
}

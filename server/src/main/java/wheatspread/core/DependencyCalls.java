package wheatspread.core;

import wheatspread.admission.Outcome;

/**
 * Starts the dependency calls that runs wait for, cancels them at their timeout, skips them, and passes their
 * replies to the kernel. Each attempt's {@link PendingDependencyCall} holds the state of its call.
 */
final class DependencyCalls {
    private final Clock clock;
    private final ActiveSettings settings;
    private final RecordsService records;
    private final Kernel kernel;
    private final EventBatcher events;
    private final RequestCounters counters;

    DependencyCalls(CoreContext context, RecordsService records) {
        clock = context.clock();
        settings = context.settings();
        kernel = context.kernel();
        events = context.events();
        counters = context.counters();
        this.records = records;
    }

    /** Starts the call that a run waits for, in place of any call in flight; cancels the new call after the timeout. */
    void start(Attempt attempt, long timeoutMicros) {
        PendingDependencyCall pending = attempt.dependencyCall();
        pending.cancel();
        counters.dependencyCallStarted();
        long startedAtMicros = clock.nowMicros();
        pending.setTimeout(clock.schedule(timeoutMicros, () -> {
            pending.cancel();
            reportEnd(attempt, Outcome.TIMED_OUT, startedAtMicros);
        }));
        pending.markStarted(records.call(attempt.job(), pending.body(), timeoutMicros, (outcome, reply) -> {
            pending.markEnded();
            if (outcome == Outcome.OK) {
                kernel.completeDependencyCall(
                        attempt.job(), new DependencyReply(pending.noticeNumber(), reply, mayBeSkipped(attempt)));
                pending.markResolved();
            }
            reportEnd(attempt, outcome, startedAtMicros);
        }));
    }

    private boolean mayBeSkipped(Attempt attempt) {
        return settings.requestClass(attempt.request().requestClass()).degradedResponseWeight() > 0;
    }

    private void reportEnd(Attempt attempt, Outcome outcome, long startedAtMicros) {
        long elapsedMicros = clock.nowMicros() - startedAtMicros;
        events.add(controller -> controller.onCallCompleted(attempt.id(), outcome, elapsedMicros));
    }

    /** Continues a run without the dependency call that the run waits for. */
    void skip(Attempt attempt) {
        PendingDependencyCall pending = attempt.dependencyCall();
        counters.dependencyCallSkipped();
        kernel.skipDependencyCall(attempt.job(), pending.noticeNumber());
        pending.markResolved();
    }
}

package wheatspread.core;

import wheatspread.admission.Outcome;
import wheatspread.logging.EventLog;

/**
 * Applies the kernel's reports, see {@link Kernel.Listener}, to the attempts. Ignores reports on attempts that are
 * no longer in flight. Owned by the core's thread.
 */
final class KernelEvents {
    private final Clock clock;
    private final ActiveSettings settings;
    private final AttemptTable attempts;
    private final EventBatcher events;
    private final FinalAnswers answers;
    private final EventLog log;

    KernelEvents(CoreContext context, FinalAnswers answers) {
        clock = context.clock();
        settings = context.settings();
        attempts = context.attempts();
        events = context.events();
        log = context.log();
        this.answers = answers;
    }

    void dependencyCallRequested(String job, long noticeNumber, byte[] call) {
        Attempt attempt = attempts.byJob(job);
        if (attempt != null) {
            attempt.markRunCertain();
            attempt.dependencyCall().markAwaited(noticeNumber, call);
            events.add(controller -> controller.onBlocked(attempt.id()));
        }
    }

    void runEnded(String job, Kernel.End end, long elapsedMicros, byte[] result) {
        Attempt attempt = attempts.byJob(job);
        if (attempt == null) {
            return;
        }
        attempt.markRunCertain();
        attempt.dependencyCall().cancel();
        switch (end) {
            case OK -> answers.endRun(attempt, end, result, elapsedMicros);
            case ERROR -> answers.endRun(attempt, end, null, elapsedMicros);
            case STOPPED -> handleStopped(attempt, elapsedMicros);
            case IGNORED -> handleIgnored(attempt);
            default -> throw new IllegalArgumentException("unknown end of a run: " + end);
        }
    }

    private void handleStopped(Attempt attempt, long elapsedMicros) {
        attempt.runStopped();
        if (attempt.answered()) {
            answers.endRun(attempt, Kernel.End.STOPPED, null, elapsedMicros);
        } else {
            attempt.runSuspended(); // the attempt still needs an answer, which the controller decides
            events.add(controller -> controller.onCompletion(attempt.id(), Outcome.CANCELED, elapsedMicros));
        }
    }

    /** Ends an attempt after the kernel ignored the command to start or resume its run. */
    private void handleIgnored(Attempt attempt) {
        if (attempt.everSuspended()) {
            // the attempt has run, so no other attempt with its key may run
            answers.endRun(attempt, Kernel.End.STOPPED, null, 0);
        } else {
            failUnstarted(attempt);
        }
    }

    /**
     * Fails an attempt that the kernel did not run, and releases its key. The attempt is failed and not rejected,
     * because only the kernel's report shows that it never ran, and a rejection would be a promise to the client.
     * The attempts that joined this attempt were not sent to the kernel and are rejected.
     */
    private void failUnstarted(Attempt attempt) {
        attempt.runNotStarted();
        events.add(controller -> controller.onCompletion(attempt.id(), Outcome.IGNORED, 0));
        answers.finish(attempt, Answer.Kind.FAILED);
    }

    /** Handles a command to start or resume a run that was not carried out. */
    void runNotStarted(String job) {
        Attempt attempt = attempts.byJob(job);
        if (attempt != null && attempt.running()) {
            log.warn("kernel_not_started", "job", job);
            handleIgnored(attempt);
        }
    }

    /**
     * Handles a run that the kernel may never report on, because a command for it may have been lost. Reports that
     * follow end the uncertainty. Without a report the run is given up at the latency objective, or at the deadline if
     * the objective has passed: until then its result would still be of use.
     */
    void runUncertain(String job) {
        Attempt attempt = attempts.byJob(job);
        if (attempt == null || !attempt.hasOpenRun()) {
            return;
        }
        attempt.markRunUncertain();
        InboundRequest request = attempt.request();
        long nowMicros = clock.nowMicros();
        long objectiveMicros = request.arrivalMicros()
                + settings.requestClass(request.requestClass()).latencyObjectiveMicros();
        long giveUpMicros = objectiveMicros > nowMicros ? objectiveMicros : request.deadlineMicros();
        clock.schedule(Math.max(0, giveUpMicros - nowMicros), () -> giveUpIfUncertain(attempt));
    }

    /**
     * Ends an attempt whose run is still uncertain. The attempt fails and is not rejected, and its key is kept like
     * that of a failed run, because the run may have taken effect.
     */
    private void giveUpIfUncertain(Attempt attempt) {
        if (!attempt.runUncertain()) {
            return;
        }
        log.warn("kernel_run_given_up", "job", attempt.job());
        if (!attempt.answered()) {
            events.add(controller -> controller.onCancellation(attempt.id()));
        }
        answers.endRun(attempt, Kernel.End.STOPPED, null, 0);
    }

    /** Stores the gauges that the kernel reported; gauges without a reading become NaN. */
    void gaugesReported(double[] readings) {
        events.setGauges(DeploymentSettings.gaugesFrom(
                settings.current().gauges(), index -> index < readings.length ? readings[index] : Double.NaN));
    }
}

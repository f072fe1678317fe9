package wheatspread.core;

import wheatspread.admission.Outcome;
import wheatspread.logging.EventLog;

/**
 * Applies what the kernel reports, see {@link Kernel.Listener}, to the attempts. Reports on attempts that are no
 * longer in flight are ignored. Owned by the core's thread.
 */
final class KernelEvents {
    private final ActiveSettings settings;
    private final AttemptTable attempts;
    private final EventBatcher events;
    private final FinalAnswers answers;
    private final EventLog log;

    KernelEvents(CoreContext context, FinalAnswers answers) {
        settings = context.settings();
        attempts = context.attempts();
        events = context.events();
        log = context.log();
        this.answers = answers;
    }

    /** A run waits for a dependency call. */
    void dependencyCallRequested(String job, long noticeNumber, byte[] call) {
        Attempt attempt = attempts.byJob(job);
        if (attempt != null) {
            attempt.dependencyCall().await(noticeNumber, call);
            events.add(controller -> controller.onBlocked(attempt.id()));
        }
    }

    /** A run ended. */
    void runEnded(String job, Kernel.End end, long elapsedMicros, byte[] result) {
        Attempt attempt = attempts.byJob(job);
        if (attempt == null) {
            return;
        }
        attempt.dependencyCall().cancel();
        switch (end) {
            case OK -> answers.endRun(attempt, end, result, elapsedMicros);
            case ERROR -> answers.endRun(attempt, end, null, elapsedMicros);
            case STOPPED -> stopped(attempt, elapsedMicros);
            case IGNORED -> ignored(attempt);
            default -> throw new IllegalArgumentException(end.toString());
        }
    }

    private void stopped(Attempt attempt, long elapsedMicros) {
        attempt.runStopped();
        if (attempt.answered()) {
            answers.endRun(attempt, Kernel.End.STOPPED, null, elapsedMicros);
        } else {
            attempt.runSuspended(); // it still owes an answer, and the controller decides which
            events.add(controller -> controller.onCompletion(attempt.id(), Outcome.CANCELED, elapsedMicros));
        }
    }

    /** The kernel ignored a command to start or resume a run. */
    private void ignored(Attempt attempt) {
        if (attempt.everSuspended()) {
            answers.endRun(attempt, Kernel.End.STOPPED, null, 0); // it has run, so a second run stays forbidden
        } else {
            neverStarted(attempt);
        }
    }

    /**
     * The attempt never ran, and frees its key. It is failed and not rejected, since the kernel alone says so and the
     * client must not rely on that; attempts that joined it were not sent to the kernel and are rejected.
     */
    private void neverStarted(Attempt attempt) {
        attempt.runNotStarted();
        events.add(controller -> controller.onCompletion(attempt.id(), Outcome.IGNORED, 0));
        answers.finish(attempt, Answer.Kind.FAILED);
    }

    /** A command to start or resume a run was not carried out. */
    void runNotStarted(String job) {
        Attempt attempt = attempts.byJob(job);
        if (attempt != null && attempt.running()) {
            log.warn("kernel_not_started", "job", job);
            ignored(attempt);
        }
    }

    /** The kernel reported its gauges. */
    void gaugesReported(double[] readings) {
        events.setGauges(DeploymentSettings.gaugesFrom(
                settings.current().gauges(), index -> index < readings.length ? readings[index] : Double.NaN));
    }
}

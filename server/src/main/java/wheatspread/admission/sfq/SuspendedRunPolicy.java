package wheatspread.admission.sfq;

import wheatspread.admission.AdmissionController.Actions;
import wheatspread.admission.PreemptionMode;

/**
 * Resumes or fails a suspended run, unless its request was answered since. A run is resumed at most once, and only if
 * the kernel can suspend work and there is time left: a suspended run still occupies its memory, and a write must not
 * be started a second time. Otherwise the request fails.
 */
final class SuspendedRunPolicy {
    private final ReloadableSettings settings;
    private final DecisionClock clock;
    private final DrainWindow drain;
    private final InFlightRequests inFlight;
    private final DependencyCallGate calls;
    private final RunTermination termination;

    SuspendedRunPolicy(
            ReloadableSettings settings,
            DecisionClock clock,
            DrainWindow drain,
            InFlightRequests inFlight,
            DependencyCallGate calls,
            RunTermination termination) {
        this.settings = settings;
        this.clock = clock;
        this.drain = drain;
        this.inFlight = inFlight;
        this.calls = calls;
        this.termination = termination;
    }

    void resumeOrFail(TrackedRequest tracked, Actions actions) {
        if (tracked.isAnswered()) { // since the run was suspended, by its expiry or by a cancellation
            inFlight.remove(tracked);
        } else if (canResume(tracked)) {
            tracked.resumed = true;
            calls.onRunResumed(tracked);
            tracked.restartStateTimer(clock.nowMicros());
            inFlight.transition(tracked, RequestState.RUNNING);
            actions.run(tracked.id());
        } else {
            termination.failSuspended(tracked, actions);
        }
    }

    private boolean canResume(TrackedRequest tracked) {
        long endMicros = Math.min(tracked.deadlineMicros, drain.stopMicros()) - settings.answerMarginMicros();
        return settings.current().preemptionMode() == PreemptionMode.SUSPEND
                && !tracked.resumed
                && clock.nowMicros() < endMicros;
    }
}

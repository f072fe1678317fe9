package wheatspread.admission.sfq;

import java.util.ArrayList;
import java.util.List;
import wheatspread.admission.AdmissionController.Actions;

/**
 * The requests that await a decision in this batch, in the order of their events: arrivals, and unanswered requests
 * whose run was suspended. Schedules a wakeup if an arrival must be answered before the next tick.
 */
final class BatchArrivals {
    private final ReloadableSettings settings;
    private final DecisionClock clock;
    private final InFlightRequests inFlight;
    private final ArrivalPolicy arrivalPolicy;
    private final SuspendedRunPolicy suspendedRuns;
    private final List<TrackedRequest> pending = new ArrayList<>();

    BatchArrivals(
            ReloadableSettings settings,
            DecisionClock clock,
            InFlightRequests inFlight,
            ArrivalPolicy arrivalPolicy,
            SuspendedRunPolicy suspendedRuns) {
        this.settings = settings;
        this.clock = clock;
        this.inFlight = inFlight;
        this.arrivalPolicy = arrivalPolicy;
        this.suspendedRuns = suspendedRuns;
    }

    void add(TrackedRequest tracked) {
        pending.add(tracked);
    }

    void decide(Actions actions) {
        long earliestAnswerMicros = Long.MAX_VALUE;
        for (TrackedRequest tracked : pending) {
            if (tracked.state == RequestState.DONE && inFlight.contains(tracked)) {
                suspendedRuns.resumeOrFail(tracked, actions);
            } else if (tracked.state == RequestState.HELD) {
                arrivalPolicy.admit(tracked, actions);
                if (tracked.state != RequestState.DONE) {
                    earliestAnswerMicros =
                            Math.min(earliestAnswerMicros, tracked.deadlineMicros - settings.answerMarginMicros());
                }
            }
        }
        pending.clear();
        if (earliestAnswerMicros < clock.nextTickMicros()) {
            actions.scheduleWakeup(Math.max(1, earliestAnswerMicros - clock.nowMicros()));
        }
    }
}

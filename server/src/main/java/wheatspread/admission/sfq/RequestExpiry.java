package wheatspread.admission.sfq;

import java.util.ArrayList;
import wheatspread.admission.AdmissionController.Actions;

/**
 * Ends, at each tick, requests whose deadline comes before the next one and those that can earn nothing any more. A
 * held request is rejected once its objective has passed; a started or joining one is given up at its deadline, or
 * when it is worthless unless it has an idempotency key. Answered runs are stopped.
 */
final class RequestExpiry {
    private final ReloadableSettings settings;
    private final DecisionClock clock;
    private final DrainWindow drain;
    private final InFlightRequests inFlight;
    private final LoadShedder shedder;
    private final RunTermination termination;

    RequestExpiry(
            ReloadableSettings settings,
            DecisionClock clock,
            DrainWindow drain,
            InFlightRequests inFlight,
            LoadShedder shedder,
            RunTermination termination) {
        this.settings = settings;
        this.clock = clock;
        this.drain = drain;
        this.inFlight = inFlight;
        this.shedder = shedder;
        this.termination = termination;
    }

    void expire(Actions actions) {
        long now = clock.nowMicros();
        for (TrackedRequest tracked : new ArrayList<>(inFlight.all())) {
            boolean expired = now >= lastAnswerMicros(tracked) - DecisionClock.TICK_MICROS;
            if (tracked.isAnswered()) {
                termination.stop(tracked, actions);
            } else if (tracked.state == RequestState.HELD) {
                if (expired || now > tracked.objectiveMicros) {
                    shedder.reject(tracked, true, actions);
                }
            } else if (expired || tracked.isWorthless(now) && !tracked.hasIdempotencyKey()) {
                termination.abandon(tracked, actions);
            }
        }
    }

    private long lastAnswerMicros(TrackedRequest tracked) {
        return Math.min(tracked.deadlineMicros - settings.answerMarginMicros(), drain.answerEndMicros());
    }
}

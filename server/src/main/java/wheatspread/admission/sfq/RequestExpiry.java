package wheatspread.admission.sfq;

import java.util.ArrayList;
import wheatspread.admission.AdmissionController.Actions;

/**
 * At each tick, ends the requests whose deadline falls before the next tick or whose answer would no longer have a
 * value. A held request is rejected once its latency objective has passed. A started or joining request is failed at
 * its deadline; if it has no idempotency key, it is failed earlier if its answer becomes useless before that. Runs
 * whose request is already answered are stopped.
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
        long nowMicros = clock.nowMicros();
        for (TrackedRequest tracked : new ArrayList<>(inFlight.requests())) {
            boolean expired = nowMicros >= lastAnswerMicros(tracked) - DecisionClock.TICK_MICROS;
            if (tracked.isAnswered()) {
                termination.stop(tracked, actions);
            } else if (tracked.state == RequestState.HELD) {
                if (expired || nowMicros > tracked.objectiveMicros) {
                    shedder.reject(tracked, true, actions);
                }
            } else if (expired || tracked.isAnswerUseless(nowMicros) && !tracked.hasIdempotencyKey()) {
                termination.abandon(tracked, actions);
            }
        }
    }

    private long lastAnswerMicros(TrackedRequest tracked) {
        return Math.min(tracked.deadlineMicros - settings.answerMarginMicros(), drain.answerEndMicros());
    }
}

package wheatspread.admission.sfq;

import java.util.ArrayList;
import java.util.List;
import wheatspread.admission.AdmissionController.Actions;
import wheatspread.admission.Outcome;

/**
 * Decides when the dependency call of a run is made or skipped, and when its request is abandoned instead. Runs that
 * can still meet their latency objective have priority over late runs; within both sets the smallest start tag has
 * priority. A call that is optional for its class is skipped after a waiting time. A call that may have taken effect is
 * not repeated unless the request is idempotent.
 */
final class DependencyCallGate {
    /** Maximum wait for the reply to an optional call, as a share of the class's latency objective. */
    private static final double MAX_OPTIONAL_CALL_TIMEOUT_SHARE = 0.3;
    /** Wait before an optional call is skipped, as a share of the class's latency objective. */
    private static final double SKIP_DELAY_SHARE = 0.1;
    /** Maximum number of attempts to make one call. The backoff between attempts grows by one tick per attempt. */
    private static final int MAX_CALL_ATTEMPTS = 5;

    private final ReloadableSettings settings;
    private final DecisionClock clock;
    private final DrainWindow drain;
    private final InFlightRequests inFlight;
    private final DependencyCallLimit limit;
    private final RunTermination termination;

    DependencyCallGate(
            ReloadableSettings settings,
            DecisionClock clock,
            DrainWindow drain,
            InFlightRequests inFlight,
            DependencyCallLimit limit,
            RunTermination termination) {
        this.settings = settings;
        this.clock = clock;
        this.drain = drain;
        this.inFlight = inFlight;
        this.limit = limit;
        this.termination = termination;
    }

    /** Marks a run as waiting for a dependency call. */
    void onBlocked(TrackedRequest tracked) {
        tracked.addCoreTime(clock.nowMicros());
        tracked.restartStateTimer(clock.nowMicros());
        tracked.callAttempts = 0;
        inFlight.transition(tracked, RequestState.AWAITING_CALL);
    }

    /** Allows a resumed run to make calls again. */
    void onRunResumed(TrackedRequest tracked) {
        tracked.callExhausted = false;
    }

    /**
     * Handles the end of a call: resumes the run after a success. Otherwise the run waits until the call is repeated or
     * skipped, or the request is abandoned.
     */
    void onCallCompleted(TrackedRequest tracked, Outcome outcome, long elapsedMicros) {
        boolean neverReceived = outcome == Outcome.QUEUE_FULL || outcome == Outcome.CONNECT_ERROR;
        if (neverReceived || outcome == Outcome.TIMED_OUT) {
            limit.onCallEnded();
        } else {
            limit.onCallMeasured(elapsedMicros);
        }
        limit.adaptToCall(neverReceived);
        tracked.restartStateTimer(clock.nowMicros());
        if (outcome == Outcome.OK) {
            inFlight.transition(tracked, RequestState.RUNNING);
            return;
        }
        tracked.callExhausted = !tracked.isIdempotent() && !neverReceived || tracked.callAttempts >= MAX_CALL_ATTEMPTS;
        if (outcome == Outcome.TIMED_OUT) {
            limit.onCallAbandoned();
        }
        inFlight.transition(tracked, RequestState.AWAITING_CALL);
    }

    /** Accounts for a call whose run ended before the reply arrived. */
    void onRunEndedDuringCall() {
        limit.onCallAbandoned();
        limit.onCallEnded();
    }

    /**
     * Makes or skips the calls that runs wait for, in order of priority, and abandons requests whose call can be
     * neither repeated nor skipped.
     */
    void makeCalls(Actions actions) {
        limit.updateMean();
        for (TrackedRequest tracked : awaitingCallByPriority()) {
            boolean optional = isCallOptional(tracked);
            if (!tracked.callExhausted && isBackoffOver(tracked) && limit.hasRoom(optional)) {
                call(tracked, actions);
            } else if (optional && (tracked.callExhausted || isSkipDelayOver(tracked))) {
                skip(tracked, actions);
            } else if (tracked.callExhausted) {
                termination.abandon(tracked, actions);
            }
        }
    }

    private List<TrackedRequest> awaitingCallByPriority() {
        long nowMicros = clock.nowMicros();
        List<TrackedRequest> waiting = new ArrayList<>(inFlight.awaitingCall());
        waiting.removeIf(TrackedRequest::isAnswered);
        waiting.sort((first, second) -> {
            boolean firstIsLate = first.objectiveMicros < nowMicros;
            boolean secondIsLate = second.objectiveMicros < nowMicros;
            return firstIsLate != secondIsLate
                    ? Boolean.compare(firstIsLate, secondIsLate)
                    : Double.compare(first.startTag, second.startTag);
        });
        return waiting;
    }

    private static boolean isCallOptional(TrackedRequest tracked) {
        return tracked.requestClass.degradedResponseWeight() > 0;
    }

    private boolean isSkipDelayOver(TrackedRequest tracked) {
        return clock.nowMicros() - tracked.stateSinceMicros()
                > SKIP_DELAY_SHARE * tracked.requestClass.latencyObjectiveMicros();
    }

    private boolean isBackoffOver(TrackedRequest tracked) {
        return clock.nowMicros() >= tracked.stateSinceMicros() + tracked.callAttempts * DecisionClock.TICK_MICROS;
    }

    private void call(TrackedRequest tracked, Actions actions) {
        long timeoutMicros = callTimeoutMicros(tracked);
        tracked.callAttempts++;
        tracked.restartStateTimer(clock.nowMicros());
        limit.onCallStarted();
        inFlight.transition(tracked, RequestState.CALLING);
        actions.callDependency(tracked.id(), timeoutMicros);
    }

    /**
     * Returns the timeout of a call: the time to the end of the request, or less if a later reply would have no value.
     */
    private long callTimeoutMicros(TrackedRequest tracked) {
        long nowMicros = clock.nowMicros();
        long answerMarginMicros = settings.answerMarginMicros();
        long objectiveLengthMicros = tracked.requestClass.latencyObjectiveMicros();
        long remainingMicros = Math.min(tracked.deadlineMicros, drain.workEndMicros()) - answerMarginMicros - nowMicros;
        if (isCallOptional(tracked)) {
            remainingMicros =
                    Math.min(remainingMicros, (long) (MAX_OPTIONAL_CALL_TIMEOUT_SHARE * objectiveLengthMicros));
        } else if (tracked.requestClass.lateWeightFactor() == 0) {
            remainingMicros =
                    Math.min(remainingMicros, Math.max(tracked.objectiveMicros - nowMicros, objectiveLengthMicros / 2));
        }
        return Math.max(answerMarginMicros, remainingMicros);
    }

    private void skip(TrackedRequest tracked, Actions actions) {
        actions.skipDependency(tracked.id());
        tracked.callExhausted = false;
        tracked.restartStateTimer(clock.nowMicros());
        inFlight.transition(tracked, RequestState.RUNNING);
    }
}

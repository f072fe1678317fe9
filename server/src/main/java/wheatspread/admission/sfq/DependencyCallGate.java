package wheatspread.admission.sfq;

import java.util.ArrayList;
import java.util.List;
import wheatspread.admission.AdmissionController.Actions;
import wheatspread.admission.Outcome;

/**
 * When a run's dependency call is made, skipped or abandoned. Runs that can still meet their objective come first,
 * then the smallest start tag. A call that the class may do without is skipped after a wait; a call that may have
 * taken effect is not repeated unless the request is idempotent.
 */
final class DependencyCallGate {
    /** Longest wait for the reply to a call that may be skipped, as a share of the class's objective. */
    private static final double SKIPPABLE_TIMEOUT_SHARE = 0.3;
    /** Wait to call, as a share of the class's objective, after which a call that may be skipped is. */
    private static final double SKIP_AFTER_SHARE = 0.1;
    /** Calls for one request at one point before it is given up; each further one waits a tick more. */
    private static final int MAX_ATTEMPTS = 5;

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

    /** A run has reached a point where it needs a call. */
    void onBlocked(TrackedRequest tracked) {
        tracked.addCoreTime(clock.nowMicros());
        tracked.restartStateTimer(clock.nowMicros());
        tracked.callAttempts = 0;
        inFlight.transition(tracked, RequestState.AWAITING_CALL);
    }

    /** A suspended run goes on; it may call again. */
    void onRunResumed(TrackedRequest tracked) {
        tracked.callExhausted = false;
    }

    /** A call has ended with this outcome. */
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
        tracked.callExhausted = !tracked.isIdempotent() && !neverReceived || tracked.callAttempts >= MAX_ATTEMPTS;
        if (outcome == Outcome.TIMED_OUT) {
            limit.onCallLingers();
        }
        inFlight.transition(tracked, RequestState.AWAITING_CALL);
    }

    /** A run has ended before its call did. */
    void onRunEndedDuringCall() {
        limit.onCallLingers();
        limit.onCallEnded();
    }

    /** Makes, skips or abandons the calls that runs wait for. */
    void makeCalls(Actions actions) {
        limit.updateMean();
        for (TrackedRequest tracked : awaitingCallInOrder()) {
            boolean skippable = isSkippable(tracked);
            if (!tracked.callExhausted && isBackoffOver(tracked) && limit.hasRoom(skippable)) {
                call(tracked, actions);
            } else if (skippable && (tracked.callExhausted || hasWaitedToSkip(tracked))) {
                skip(tracked, actions);
            } else if (tracked.callExhausted) {
                termination.abandon(tracked, actions);
            }
        }
    }

    private List<TrackedRequest> awaitingCallInOrder() {
        long now = clock.nowMicros();
        List<TrackedRequest> waiting = new ArrayList<>(inFlight.awaitingCall());
        waiting.removeIf(TrackedRequest::isAnswered);
        waiting.sort((a, b) -> {
            boolean aLate = a.objectiveMicros < now;
            boolean bLate = b.objectiveMicros < now;
            return aLate != bLate ? Boolean.compare(aLate, bLate) : Double.compare(a.startTag, b.startTag);
        });
        return waiting;
    }

    private static boolean isSkippable(TrackedRequest tracked) {
        return tracked.requestClass.degradedResponseWeight() > 0;
    }

    private boolean hasWaitedToSkip(TrackedRequest tracked) {
        return clock.nowMicros() - tracked.stateSinceMicros()
                > SKIP_AFTER_SHARE * tracked.requestClass.latencyObjectiveMicros();
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

    /** Time to the end of the request, or less where a later reply would earn nothing. */
    private long callTimeoutMicros(TrackedRequest tracked) {
        long now = clock.nowMicros();
        long answerMarginMicros = settings.answerMarginMicros();
        long objectiveLengthMicros = tracked.requestClass.latencyObjectiveMicros();
        long leftMicros = Math.min(tracked.deadlineMicros, drain.workEndMicros()) - answerMarginMicros - now;
        if (isSkippable(tracked)) {
            leftMicros = Math.min(leftMicros, (long) (SKIPPABLE_TIMEOUT_SHARE * objectiveLengthMicros));
        } else if (tracked.requestClass.lateWeightFactor() == 0) {
            leftMicros = Math.min(leftMicros, Math.max(tracked.objectiveMicros - now, objectiveLengthMicros / 2));
        }
        return Math.max(answerMarginMicros, leftMicros);
    }

    private void skip(TrackedRequest tracked, Actions actions) {
        actions.skipDependency(tracked.id());
        tracked.callExhausted = false;
        tracked.restartStateTimer(clock.nowMicros());
        inFlight.transition(tracked, RequestState.RUNNING);
    }
}

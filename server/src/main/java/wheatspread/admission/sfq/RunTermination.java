package wheatspread.admission.sfq;

import wheatspread.admission.AdmissionController.Actions;
import wheatspread.admission.PreemptionMode;

/** Abandons started and joining requests: answers them with an error and stops their work if the kernel allows it. */
final class RunTermination {
    private final ReloadableSettings settings;
    private final InFlightRequests inFlight;
    private final UnstartedRequestRemover unstartedRemover;
    private final ServiceTimeEstimator serviceTimes;

    RunTermination(
            ReloadableSettings settings,
            InFlightRequests inFlight,
            UnstartedRequestRemover unstartedRemover,
            ServiceTimeEstimator serviceTimes) {
        this.settings = settings;
        this.inFlight = inFlight;
        this.unstartedRemover = unstartedRemover;
        this.serviceTimes = serviceTimes;
    }

    /** Answers a started or joining request with an error and stops its work. */
    void abandon(TrackedRequest tracked, Actions actions) {
        actions.fail(tracked.id());
        tracked.markAnswered();
        if (tracked.state == RequestState.JOINING) {
            unstartedRemover.remove(tracked);
        } else if (stop(tracked, actions)) {
            serviceTimes.recordAbandonment(tracked);
        }
    }

    /**
     * Stops the run of an answered request, unless other requests wait for its result.
     *
     * @return whether a stop was requested
     */
    boolean stop(TrackedRequest tracked, Actions actions) {
        boolean stoppable = tracked.state == RequestState.RUNNING
                && tracked.joiners == 0
                && settings.current().preemptionMode() != PreemptionMode.NONE;
        if (stoppable) {
            actions.preempt(tracked.id());
        }
        return stoppable;
    }

    /** Fails a request whose suspended run will not be resumed; the kernel has no work to stop. */
    void failSuspended(TrackedRequest tracked, Actions actions) {
        actions.fail(tracked.id());
        inFlight.remove(tracked);
    }
}

package wheatspread.admission.sfq;

import wheatspread.admission.AdmissionController.Actions;

/**
 * Starts held requests in the order of the fair queue while there is a free slot and enough memory. A request that is
 * expected to end too late is rejected instead.
 */
final class Dispatcher {
    private final DecisionClock clock;
    private final InFlightRequests inFlight;
    private final FairQueue fairQueue;
    private final MemoryBudget memory;
    private final ConcurrencyLimit concurrency;
    private final ObjectiveForecast forecast;
    private final LoadShedder shedder;
    private final LoadPressure pressure;

    Dispatcher(
            DecisionClock clock,
            InFlightRequests inFlight,
            FairQueue fairQueue,
            MemoryBudget memory,
            ConcurrencyLimit concurrency,
            ObjectiveForecast forecast,
            LoadShedder shedder,
            LoadPressure pressure) {
        this.clock = clock;
        this.inFlight = inFlight;
        this.fairQueue = fairQueue;
        this.memory = memory;
        this.concurrency = concurrency;
        this.forecast = forecast;
        this.shedder = shedder;
        this.pressure = pressure;
    }

    void startRequests(Actions actions) {
        TrackedRequest next = fairQueue.peek();
        while (next != null && concurrency.hasFreeSlot()) {
            if (forecast.isExpectedToMiss(next)) {
                shedder.reject(next, true, actions);
            } else if (memory.canStart(next)) {
                start(next, actions);
            } else {
                return;
            }
            next = fairQueue.peek();
        }
    }

    private void start(TrackedRequest tracked, Actions actions) {
        fairQueue.dispatch(tracked, clock.nowMicros());
        inFlight.transition(tracked, RequestState.RUNNING);
        pressure.recordStart();
        tracked.restartStateTimer(clock.nowMicros());
        actions.run(tracked.id());
    }
}

package wheatspread.admission.sfq;

import wheatspread.admission.AdmissionController.Actions;

/**
 * Starts held requests in the order of the fair queue while there is a free slot and memory. A request that is not
 * expected to end by its objective, or before this process is stopped, is rejected instead.
 */
final class Dispatcher {
    /** Started requests per core below which a request starts whatever its estimate, so that estimates recover. */
    private static final double PROBES_PER_CORE = 0.34;

    private final ReloadableSettings settings;
    private final DecisionClock clock;
    private final DrainState drain;
    private final InFlightRequests inFlight;
    private final FairQueue fairQueue;
    private final MemoryBudget memory;
    private final ConcurrencyLimit concurrency;
    private final ServiceTimeEstimator serviceTimes;
    private final LoadShedder shedder;
    private final LoadPressure pressure;

    Dispatcher(
            ReloadableSettings settings,
            DecisionClock clock,
            DrainState drain,
            InFlightRequests inFlight,
            FairQueue fairQueue,
            MemoryBudget memory,
            ConcurrencyLimit concurrency,
            ServiceTimeEstimator serviceTimes,
            LoadShedder shedder,
            LoadPressure pressure) {
        this.settings = settings;
        this.clock = clock;
        this.drain = drain;
        this.inFlight = inFlight;
        this.fairQueue = fairQueue;
        this.memory = memory;
        this.concurrency = concurrency;
        this.serviceTimes = serviceTimes;
        this.shedder = shedder;
        this.pressure = pressure;
    }

    void startRequests(Actions actions) {
        TrackedRequest next = fairQueue.next();
        while (next != null && concurrency.hasFreeSlot()) {
            if (isExpectedToMissObjective(next)) {
                shedder.reject(next, true, actions);
            } else if (memory.canStart(next)) {
                start(next, actions);
            } else {
                return;
            }
            next = fairQueue.next();
        }
    }

    private boolean isExpectedToMissObjective(TrackedRequest tracked) {
        boolean probe = inFlight.started() < PROBES_PER_CORE * settings.cores();
        double neededMicros = probe ? 0 : serviceTimes.expectedMicros(tracked) / (1 - serviceTimes.abandonedShare());
        return clock.nowMicros() + neededMicros > Math.min(tracked.objectiveMicros, drain.workEndMicros());
    }

    private void start(TrackedRequest tracked, Actions actions) {
        fairQueue.dispatch(tracked, clock.nowMicros());
        inFlight.transition(tracked, RequestState.RUNNING);
        pressure.recordStart();
        tracked.restartStateTimer(clock.nowMicros());
        actions.run(tracked.id());
    }
}

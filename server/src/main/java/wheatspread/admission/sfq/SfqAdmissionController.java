package wheatspread.admission.sfq;

import wheatspread.admission.AdmissionController;
import wheatspread.admission.AdmissionRequest;
import wheatspread.admission.AdmissionSettings;
import wheatspread.admission.LoadGauges;
import wheatspread.admission.Outcome;
import wheatspread.admission.RequestClass;

/**
 * Admission controller by SFQ(D), start-time fair queuing with a concurrency limit D. Tenants are flows with FIFO
 * queues. A request gets the start tag S = max(v, F_prev) and the finish tag F = S + c/phi, with F_prev the finish tag
 * of the flow's previous request, c the cost of the request and phi the weight of the flow. While fewer than D
 * requests run, the held request with the smallest start tag is dispatched, and the virtual time v becomes its start
 * tag. This class passes events to the classes that each implement one rule, and calls them in a fixed order to make
 * the decisions of a batch.
 */
public final class SfqAdmissionController implements AdmissionController {
    private final ReloadableSettings settings;
    private final DecisionClock clock = new DecisionClock();
    private final DrainWindow drain;
    private final GaugeMonitor gauges = new GaugeMonitor();
    private final InFlightRequests inFlight;
    private final RetainedKeys keys;
    private final MemoryBudget memory;
    private final FairQueue fairQueue;
    private final ClientWaitEstimator clientWaits;
    private final ServiceTimeEstimator serviceTimes;
    private final ConcurrencyLimit concurrency;
    private final HeldQueueBound heldQueueBound;
    private final ArrivalRate arrivalRate = new ArrivalRate();
    private final OverloadDetector overload;
    private final LoadShedder shedder;
    private final UnstartedRequestRemover unstartedRemover;
    private final RequestExpiry expiry;
    private final DependencyCallLimit callLimit;
    private final DependencyCallGate calls;
    private final BatchArrivals arrivals;
    private final Dispatcher dispatcher;
    private final IdleConnectionPolicy idleConnections;
    private final HealthReporter health;
    private final LoadFeedback loadFeedback;

    /**
     * Creates a controller for one process.
     *
     * @param initial the settings at start
     * @param seed seed of the random retry-after times of rejected clients; not used for anything else
     */
    public SfqAdmissionController(AdmissionSettings initial, long seed) {
        settings = new ReloadableSettings(initial);
        drain = new DrainWindow(initial.limits());
        inFlight = new InFlightRequests(settings);
        keys = new RetainedKeys(settings, clock);
        memory = new MemoryBudget(settings, inFlight, keys);
        fairQueue = new FairQueue(initial.tenants());
        unstartedRemover = new UnstartedRequestRemover(clock, inFlight, fairQueue);

        SlowStart slowStart = new SlowStart(settings, clock);
        clientWaits = new ClientWaitEstimator(settings);
        serviceTimes = new ServiceTimeEstimator(settings, clock, inFlight, slowStart);
        concurrency = new ConcurrencyLimit(settings, inFlight, slowStart, gauges);
        heldQueueBound = new HeldQueueBound(inFlight, serviceTimes, concurrency);
        overload = new OverloadDetector(clock);
        LoadPressure pressure = new LoadPressure(settings, heldQueueBound, overload);

        shedder = new LoadShedder(settings, clock, fairQueue, keys, unstartedRemover, pressure, seed);
        RunTermination termination = new RunTermination(settings, inFlight, unstartedRemover, serviceTimes);
        expiry = new RequestExpiry(settings, clock, drain, inFlight, shedder, termination);
        callLimit = new DependencyCallLimit(settings, clock, inFlight);
        calls = new DependencyCallGate(settings, clock, drain, inFlight, callLimit, termination);

        DuplicatePolicy duplicates = new DuplicatePolicy(inFlight, memory, shedder, termination);
        KeyRetentionPolicy keyRetention = new KeyRetentionPolicy(settings, memory, keys);
        ArrivalPolicy arrivalPolicy =
                new ArrivalPolicy(clock, drain, duplicates, keyRetention, fairQueue, serviceTimes, shedder);
        SuspendedRunPolicy suspendedRuns = new SuspendedRunPolicy(settings, clock, drain, inFlight, calls, termination);
        arrivals = new BatchArrivals(settings, clock, inFlight, arrivalPolicy, suspendedRuns);
        ObjectiveForecast forecast = new ObjectiveForecast(settings, clock, drain, inFlight, serviceTimes);
        dispatcher = new Dispatcher(clock, inFlight, fairQueue, memory, concurrency, forecast, shedder, pressure);

        idleConnections = new IdleConnectionPolicy(settings, clock, inFlight, gauges, arrivalRate, overload);
        health = new HealthReporter(settings, drain, overload, arrivalRate, fairQueue.totalQuotaPerSecond());
        loadFeedback = new LoadFeedback(settings, inFlight, serviceTimes, concurrency, overload, pressure);
    }

    @Override
    public void beginBatch(long nowMicros) {
        clock.beginBatch(nowMicros);
        gauges.beginBatch();
    }

    @Override
    public void onArrival(AdmissionRequest request) {
        int index = request.requestClass();
        if (index < 0 || index >= settings.classCount()) {
            throw new IllegalArgumentException("request " + request.id() + " has unknown class " + index
                    + ", expected 0 to " + (settings.classCount() - 1));
        }
        RequestClass requestClass = settings.current().classes().get(index);
        Flow flow = fairQueue.flow(request.tenant());
        long clientWaitMicros = clientWaits.recordArrival(request, requestClass);
        TrackedRequest tracked = new TrackedRequest(request, requestClass, flow, clock.nowMicros(), clientWaitMicros);
        inFlight.add(tracked);
        arrivals.add(tracked);
        arrivalRate.recordArrival();
        overload.recordArrival(tracked);
    }

    @Override
    public void onCompletion(long id, Outcome outcome, long elapsedMicros) {
        TrackedRequest tracked = inFlight.get(id);
        if (tracked == null) {
            return;
        }
        if (tracked.state == RequestState.RUNNING) {
            tracked.addCoreTime(clock.nowMicros());
            if (outcome == Outcome.OK || outcome == Outcome.FAILED) {
                serviceTimes.recordCompletion(tracked, elapsedMicros);
            }
        } else if (tracked.state == RequestState.CALLING) {
            calls.onRunEndedDuringCall();
        }
        keys.onCompletion(tracked, outcome == Outcome.OK);
        fairQueue.onServed(tracked);
        inFlight.transition(tracked, RequestState.DONE);
        boolean suspended = outcome == Outcome.CANCELED && !tracked.isAnswered();
        if (suspended) {
            arrivals.add(tracked);
        } else {
            inFlight.remove(tracked);
        }
    }

    @Override
    public void onBlocked(long id) {
        TrackedRequest tracked = inFlight.get(id);
        if (tracked != null && tracked.state == RequestState.RUNNING) {
            calls.onBlocked(tracked);
        }
    }

    @Override
    public void onCallCompleted(long id, Outcome outcome, long elapsedMicros) {
        TrackedRequest tracked = inFlight.get(id);
        if (tracked != null && tracked.state == RequestState.CALLING) {
            calls.onCallCompleted(tracked, outcome, elapsedMicros);
        }
    }

    @Override
    public void onCancellation(long id) {
        TrackedRequest tracked = inFlight.get(id);
        if (tracked == null) {
            return;
        }
        tracked.markAnswered();
        if (tracked.state == RequestState.HELD || tracked.state == RequestState.JOINING) {
            unstartedRemover.remove(tracked);
        }
    }

    @Override
    public void onDrain(long timeLeftMicros) {
        drain.begin(clock.nowMicros(), timeLeftMicros);
    }

    @Override
    public void onSettingsChanged(AdmissionSettings next) {
        settings.replace(next);
        inFlight.resizeClasses(settings.classCount());
        clientWaits.resizeClasses(settings.classCount());
        serviceTimes.resizeClasses(settings.classCount());
    }

    @Override
    public void onTimer(LoadGauges reading) {
        gauges.record(reading);
    }

    @Override
    public void decide(Actions actions) {
        boolean tick = clock.isTick();
        if (clock.isFirstDecision()) {
            health.reportInitially(actions);
        }
        if (tick) {
            keys.releaseExpired(actions);
            expiry.expire(actions);
            serviceTimes.updateSlotTime();
            callLimit.adaptToCallAges();
            concurrency.update();
        }
        arrivals.decide(actions);
        shedder.shedForMemory(memory, actions);
        calls.makeCalls(actions);
        dispatcher.startRequests(actions);
        shedder.shedForDelay(heldQueueBound, actions);
        if (tick) {
            endTick(actions);
            clock.scheduleNextTick();
            actions.scheduleWakeup(DecisionClock.TICK_MICROS);
        }
        endBatch();
    }

    private void endTick(Actions actions) {
        if (!arrivalRate.hasArrivalsSinceTick()) {
            overload.onIdleTick();
        }
        arrivalRate.endTick();
        idleConnections.update(actions);
        overload.update(actions);
        health.update(actions);
        loadFeedback.update(actions);
    }

    private void endBatch() {
        if (inFlight.heldCount() + inFlight.startedCount() == 0) {
            fairQueue.onIdle();
        }
        shedder.endBatch();
    }
}

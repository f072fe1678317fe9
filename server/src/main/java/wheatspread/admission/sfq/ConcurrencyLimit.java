package wheatspread.admission.sfq;

import wheatspread.admission.LoadGauges;

/**
 * D of SFQ(D): how many requests run at once. D starts at the core count, grows by one a tick while requests are held,
 * D is used up and cores idle, and shrinks by one for every {@value #CROWDED_TICKS} ticks in a row with a crowded run
 * queue. It stays at or above the core count and under a share of the requests that the server survives; with stuck
 * gauges it is the core count. Requests at dependency calls do not count against D, but all started requests stay
 * under a bound of their own, since all calls may return at once.
 */
final class ConcurrencyLimit {
    /** Core utilization, as a share, under which cores count as idle; the gauge averages half a second. */
    private static final double IDLE_UTILIZATION = 0.92;
    /** Runnable tasks per core above which the run queue counts as crowded. */
    private static final double CROWDED_TASKS_PER_CORE = 1.4;
    /** Crowded ticks in a row until D shrinks by one: the hysteresis. */
    private static final int CROWDED_TICKS = 3;
    /** Ceiling of D, as a share of the requests that the server survives. */
    private static final double MAX_RUNNING_SHARE = 0.6;
    /** Ceiling of all started requests, as a share of the requests that the server survives. */
    private static final double MAX_STARTED_SHARE = 0.85;

    private final ReloadableSettings settings;
    private final InFlightRequests inFlight;
    private final SlowStart slowStart;
    private final GaugeMonitor gauges;
    private int depth;
    private int crowdedTicks;

    ConcurrencyLimit(ReloadableSettings settings, InFlightRequests inFlight, SlowStart slowStart, GaugeMonitor gauges) {
        this.settings = settings;
        this.inFlight = inFlight;
        this.slowStart = slowStart;
        this.gauges = gauges;
        depth = settings.cores();
    }

    /** D, in requests. */
    int depth() {
        return depth;
    }

    /** Whether one more request may be started. */
    boolean hasFreeSlot() {
        return inFlight.running() < depth
                && inFlight.started() < (int) (MAX_STARTED_SHARE * slowStart.survivableRequests());
    }

    /** Adapts D to the gauges, once a tick. */
    void update() {
        LoadGauges reading = gauges.check(inFlight.started() > 0);
        if (reading != null) {
            adapt(reading);
        } else if (gauges.isStuck()) {
            depth = settings.cores();
        }
        int ceiling = (int) (MAX_RUNNING_SHARE * slowStart.survivableRequests());
        depth = Math.max(settings.cores(), Math.min(depth, ceiling));
    }

    private void adapt(LoadGauges reading) {
        double tasksPerCore = reading.runnableTasks() / settings.cores();
        crowdedTicks = tasksPerCore > CROWDED_TASKS_PER_CORE ? crowdedTicks + 1 : 0;
        if (crowdedTicks >= CROWDED_TICKS) {
            depth--;
            crowdedTicks = 0;
        } else if (canGrow(tasksPerCore, reading.coreUtilization())) {
            depth++;
        }
    }

    private boolean canGrow(double tasksPerCore, double coreUtilization) {
        boolean wanted = inFlight.held() > 0 && inFlight.running() >= depth;
        boolean coresIdle = tasksPerCore < 1 || coreUtilization < IDLE_UTILIZATION;
        return wanted && tasksPerCore < CROWDED_TASKS_PER_CORE && coresIdle;
    }
}

package wheatspread.admission.sfq;

import wheatspread.admission.LoadGauges;

/**
 * The concurrency limit D of SFQ(D): the number of requests that may run at the same time. D starts at the core count.
 * D grows by one per tick while requests are held, all D slots are used and cores are idle. D shrinks by one after
 * every {@value #CROWDED_TICKS} consecutive ticks with a crowded run queue. D never falls below the core count, nor
 * rises above a share of the requests that the server can run without overload. When the gauges are stuck, D is the
 * core count. Requests that wait for a dependency call do not count against D, but the number of all started requests
 * has a separate bound, since all calls may return at the same time.
 */
final class ConcurrencyLimit {
    /** Core utilization, as a share, below which cores count as idle; the gauge averages half a second. */
    private static final double IDLE_UTILIZATION = 0.92;
    /** Runnable tasks per core above which the run queue counts as crowded. */
    private static final double CROWDED_TASKS_PER_CORE = 1.4;
    /** Consecutive crowded ticks after which D shrinks by one; provides hysteresis. */
    private static final int CROWDED_TICKS = 3;
    /** Upper bound on D, as a share of the requests that the server can run without overload. */
    private static final double MAX_RUNNING_SHARE = 0.6;
    /** Upper bound on all started requests, as a share of the requests that the server can run without overload. */
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
        depth = settings.coreCount();
    }

    /** Returns D, in requests. */
    int depth() {
        return depth;
    }

    /** Returns whether one more request may be started. */
    boolean hasFreeSlot() {
        return inFlight.runningCount() < depth
                && inFlight.startedCount() < (int) (MAX_STARTED_SHARE * slowStart.sustainableRequests());
    }

    /** Adapts D to the gauges; called once per tick. */
    void update() {
        LoadGauges reading = gauges.check(inFlight.startedCount() > 0);
        if (reading != null) {
            adapt(reading);
        } else if (gauges.isStuck()) {
            depth = settings.coreCount();
        }
        int ceiling = (int) (MAX_RUNNING_SHARE * slowStart.sustainableRequests());
        depth = Math.max(settings.coreCount(), Math.min(depth, ceiling));
    }

    private void adapt(LoadGauges reading) {
        double tasksPerCore = reading.runnableTasks() / settings.coreCount();
        crowdedTicks = tasksPerCore > CROWDED_TASKS_PER_CORE ? crowdedTicks + 1 : 0;
        if (crowdedTicks >= CROWDED_TICKS) {
            depth--;
            crowdedTicks = 0;
        } else if (canGrow(tasksPerCore, reading.coreUtilization())) {
            depth++;
        }
    }

    private boolean canGrow(double tasksPerCore, double coreUtilization) {
        boolean slotsNeeded = inFlight.heldCount() > 0 && inFlight.runningCount() >= depth;
        boolean coresIdle = tasksPerCore < 1 || coreUtilization < IDLE_UTILIZATION;
        return slotsNeeded && tasksPerCore < CROWDED_TASKS_PER_CORE && coresIdle;
    }
}

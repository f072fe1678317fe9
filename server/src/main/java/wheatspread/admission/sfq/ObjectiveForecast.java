package wheatspread.admission.sfq;

/**
 * Predicts whether a held request would end too late if it started at this time: after its latency objective, or after
 * the time at which runs must end because the process is stopped. The expected service time is stretched by the share
 * of recent runs that were abandoned. When hardly any request is started, the estimate is ignored, so that new runs can
 * correct it.
 */
final class ObjectiveForecast {
    /** Started requests per core below which a request is started as a probe, whatever its estimate. */
    private static final double MAX_PROBES_PER_CORE = 0.34;

    private final ReloadableSettings settings;
    private final DecisionClock clock;
    private final DrainWindow drain;
    private final InFlightRequests inFlight;
    private final ServiceTimeEstimator serviceTimes;

    ObjectiveForecast(
            ReloadableSettings settings,
            DecisionClock clock,
            DrainWindow drain,
            InFlightRequests inFlight,
            ServiceTimeEstimator serviceTimes) {
        this.settings = settings;
        this.clock = clock;
        this.drain = drain;
        this.inFlight = inFlight;
        this.serviceTimes = serviceTimes;
    }

    boolean isExpectedToMiss(TrackedRequest tracked) {
        boolean probe = inFlight.startedCount() < MAX_PROBES_PER_CORE * settings.coreCount();
        double neededMicros = probe ? 0 : serviceTimes.expectedMicros(tracked) / (1 - serviceTimes.abandonedShare());
        return clock.nowMicros() + neededMicros > Math.min(tracked.objectiveMicros, drain.workEndMicros());
    }
}

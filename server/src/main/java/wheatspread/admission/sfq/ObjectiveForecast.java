package wheatspread.admission.sfq;

/**
 * Whether a held request would end too late if it started now: after its latency objective, or after runs have to end
 * because this process is stopped. The expected service time is stretched by the share of recent runs that were given
 * up. Where hardly anything runs a request starts whatever its estimate, so that estimates recover.
 */
final class ObjectiveForecast {
    /** Started requests per core below which the estimate does not count. */
    private static final double PROBES_PER_CORE = 0.34;

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
        boolean probe = inFlight.started() < PROBES_PER_CORE * settings.cores();
        double neededMicros = probe ? 0 : serviceTimes.expectedMicros(tracked) / (1 - serviceTimes.abandonedShare());
        return clock.nowMicros() + neededMicros > Math.min(tracked.objectiveMicros, drain.workEndMicros());
    }
}

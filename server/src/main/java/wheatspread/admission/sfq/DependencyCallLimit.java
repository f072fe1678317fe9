package wheatspread.admission.sfq;

import java.util.ArrayList;
import java.util.List;

/**
 * Limits the number of outstanding dependency calls. The configured number bounds the mean over the averaging window.
 * Abandoned calls count until the dependency has stopped working on them. The bound shrinks while calls are slow or
 * rejected, and grows back afterwards. Without a configured number there is no bound.
 */
final class DependencyCallLimit {
    /** Maximum mean of outstanding calls, as a share of the bound. */
    private static final double MAX_MEAN_SHARE = 0.7;
    /**
     * Mean over the whole window at which no call starts, as a share of the configured number. After a quiet time the
     * smoothed mean lags behind it.
     */
    private static final double MAX_WINDOW_MEAN_SHARE = 0.9;
    /** Minimum bound, as a share of the configured number. */
    private static final double MIN_BOUND_SHARE = 0.4;
    /** Share of the bound that optional calls may use. */
    private static final double OPTIONAL_CALLS_SHARE = 0.5;
    /** Maximum number of calls outstanding at the same time, as a multiple of the bound on their mean. */
    private static final double MAX_BURST_FACTOR = 2;
    /** Smoothing gain of the call time, per call. */
    private static final double CALL_TIME_GAIN = 0.1;
    /** Growth factor of the usual call time per call, so that a few fast calls do not lower it permanently. */
    private static final double USUAL_TIME_GROWTH = 1.001;
    /** Multiple of the usual call time above which calls count as slow. */
    private static final double SLOW_CALL_FACTOR = 2.0;
    /** Difference between call times that may be due to the scheduling of this process. */
    private static final double SCHEDULING_NOISE_MICROS = 10_000;
    /** Factor applied to the bound for every slow or rejected call. */
    private static final double SHRINK_FACTOR = 0.9;
    /** Growth of the bound for every other call, as a share of the minimum bound. */
    private static final double BOUND_GROWTH_SHARE = 0.05;
    /** Minimum number of outstanding calls for a meaningful median age; half the configured number if that is less. */
    private static final double MIN_CALLS_FOR_MEDIAN = 2;

    private final ReloadableSettings settings;
    private final DecisionClock clock;
    private final InFlightRequests inFlight;
    private final double configuredCalls;
    private final List<Long> lingeringUntilMicros = new ArrayList<>();
    private final long windowMicros;
    private final SlidingWindowMean windowMean;
    private int outstandingCalls;
    private long averagedAtMicros;
    private double boundCalls;
    private double meanOutstandingCalls;
    private double usualCallMicros;
    private double recentCallMicros;

    DependencyCallLimit(ReloadableSettings settings, DecisionClock clock, InFlightRequests inFlight) {
        this.settings = settings;
        this.clock = clock;
        this.inFlight = inFlight;
        configuredCalls = settings.current().dependency().maxConcurrentCalls();
        boundCalls = configuredCalls;
        windowMicros = Math.max(1, settings.current().dependency().averagingWindowMicros());
        windowMean = new SlidingWindowMean(windowMicros);
    }

    boolean hasRoom(boolean optional) {
        if (configuredCalls <= 0) {
            return true;
        }
        double share = optional ? OPTIONAL_CALLS_SHARE : 1;
        return meanOutstandingCalls < boundCalls * MAX_MEAN_SHARE * share
                && occupiedCalls() < Math.max(1, MAX_BURST_FACTOR * boundCalls * share)
                && windowMean.mean(clock.nowMicros()) < configuredCalls * MAX_WINDOW_MEAN_SHARE;
    }

    /** Returns the number of calls that occupy the dependency, abandoned ones included. */
    private int occupiedCalls() {
        return outstandingCalls + lingeringUntilMicros.size();
    }

    void onCallStarted() {
        outstandingCalls++;
        windowMean.record(clock.nowMicros(), occupiedCalls());
    }

    /** Records the end of a call whose time is a measure of the dependency's speed. */
    void onCallMeasured(long elapsedMicros) {
        onCallEnded();
        recentCallMicros = recentCallMicros == 0
                ? elapsedMicros
                : recentCallMicros + CALL_TIME_GAIN * (elapsedMicros - recentCallMicros);
        usualCallMicros = usualCallMicros == 0
                ? recentCallMicros
                : Math.min(recentCallMicros, usualCallMicros * USUAL_TIME_GROWTH);
    }

    /** Records the end of a call whose time is no measure of the dependency's speed. */
    void onCallEnded() {
        updateMean();
        outstandingCalls--;
        windowMean.record(clock.nowMicros(), occupiedCalls());
    }

    /** Counts an abandoned call until the dependency has stopped working on it. */
    void onCallAbandoned() {
        lingeringUntilMicros.add(
                clock.nowMicros() + settings.current().dependency().abandonedCallLingerMicros());
    }

    /** Updates the mean of outstanding and lingering calls over the averaging window. */
    void updateMean() {
        long nowMicros = clock.nowMicros();
        lingeringUntilMicros.removeIf(untilMicros -> untilMicros < nowMicros);
        windowMean.record(nowMicros, occupiedCalls());
        double weight = Math.exp((double) -(nowMicros - averagedAtMicros) / windowMicros);
        meanOutstandingCalls = meanOutstandingCalls * weight + occupiedCalls() * (1 - weight);
        averagedAtMicros = nowMicros;
    }

    /** Adapts the bound to a call that ended. A rejected call indicates an overloaded dependency. */
    void adaptToCall(boolean rejected) {
        if (rejected || isSlow(recentCallMicros)) {
            shrink();
        } else {
            boundCalls = Math.min(configuredCalls, boundCalls + configuredCalls * MIN_BOUND_SHARE * BOUND_GROWTH_SHARE);
        }
    }

    /** Adapts the bound to the ages of outstanding calls, which show a stall before any call ends. */
    void adaptToCallAges() {
        if (isSlow(medianAgeMicros())) {
            shrink();
        }
    }

    private void shrink() {
        boundCalls = Math.max(configuredCalls * MIN_BOUND_SHARE, boundCalls * SHRINK_FACTOR);
    }

    private boolean isSlow(double callMicros) {
        return usualCallMicros > 0
                && callMicros > Math.max(SLOW_CALL_FACTOR * usualCallMicros, usualCallMicros + SCHEDULING_NOISE_MICROS);
    }

    /**
     * Returns the median age of the outstanding calls, or 0 if there are too few of them. With the mean, or with fewer
     * calls, one lost reply would look like a slow dependency.
     */
    private double medianAgeMicros() {
        long nowMicros = clock.nowMicros();
        long[] agesMicros = inFlight.requests().stream()
                .filter(tracked -> tracked.state == RequestState.CALLING)
                .mapToLong(tracked -> nowMicros - tracked.stateSinceMicros())
                .sorted()
                .toArray();
        double minCalls = Math.max(1, Math.min(MIN_CALLS_FOR_MEDIAN, configuredCalls / 2));
        return agesMicros.length < minCalls ? 0 : agesMicros[(agesMicros.length - 1) / 2];
    }
}

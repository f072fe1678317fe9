package wheatspread.admission.sfq;

import java.util.ArrayList;
import java.util.List;

/**
 * How many dependency calls may be outstanding. The configured number bounds the mean over the averaging window;
 * abandoned calls count until the dependency has let go of them. The bound shrinks while calls are slow or rejected,
 * and grows back afterwards. Without a configured number there is no bound.
 */
final class DependencyCallLimit {
    /** Largest mean of outstanding calls, as a share of the bound. */
    private static final double MAX_MEAN_SHARE = 0.7;
    /** Smallest bound, as a share of the configured number. */
    private static final double MIN_BOUND_SHARE = 0.4;
    /** Share of the bound that is open to calls that may be skipped. */
    private static final double SKIPPABLE_SHARE = 0.5;
    /** Calls that may be outstanding at once, as a multiple of the bound on their mean. */
    private static final double MAX_BURST_FACTOR = 2;
    /** Smoothing of the call time, per call. */
    private static final double CALL_TIME_GAIN = 0.1;
    /** Growth of the usual call time per call, so that a few fast calls do not set it for good. */
    private static final double USUAL_TIME_GROWTH = 1.001;
    /** Multiple of the usual call time above which calls count as slow. */
    private static final double SLOW_FACTOR = 2.0;
    /** Difference between call times that the scheduling of this process accounts for. */
    private static final double SCHEDULING_NOISE_MICROS = 10_000;
    /** Factor on the bound for every slow or rejected call. */
    private static final double SHRINK_FACTOR = 0.9;
    /** Growth of the bound for every other call, as a share of the smallest bound. */
    private static final double GROWTH_SHARE = 0.05;
    /** Outstanding calls that make their median age meaningful; half the configured number if that is less. */
    private static final double MEDIAN_MIN_CALLS = 2;

    private final ReloadableSettings settings;
    private final DecisionClock clock;
    private final InFlightRequests inFlight;
    private final double configured;
    private final List<Long> lingeringUntilMicros = new ArrayList<>();
    private int outstanding;
    private long averagedAtMicros;
    private double bound;
    private double meanOutstanding;
    private double usualCallMicros;
    private double recentCallMicros;

    DependencyCallLimit(ReloadableSettings settings, DecisionClock clock, InFlightRequests inFlight) {
        this.settings = settings;
        this.clock = clock;
        this.inFlight = inFlight;
        configured = settings.current().dependency().maxConcurrentCalls();
        bound = configured;
    }

    boolean hasRoom(boolean skippable) {
        if (configured <= 0) {
            return true;
        }
        double share = skippable ? SKIPPABLE_SHARE : 1;
        return meanOutstanding < bound * MAX_MEAN_SHARE * share
                && outstanding + lingeringUntilMicros.size() < Math.max(1, MAX_BURST_FACTOR * bound * share);
    }

    void onCallStarted() {
        outstanding++;
    }

    /** A call ended whose time shows how fast the dependency is. */
    void onCallMeasured(long elapsedMicros) {
        onCallEnded();
        recentCallMicros = recentCallMicros == 0
                ? elapsedMicros
                : recentCallMicros + CALL_TIME_GAIN * (elapsedMicros - recentCallMicros);
        usualCallMicros = usualCallMicros == 0
                ? recentCallMicros
                : Math.min(recentCallMicros, usualCallMicros * USUAL_TIME_GROWTH);
    }

    /** A call ended whose time shows nothing. */
    void onCallEnded() {
        updateMean();
        outstanding--;
    }

    /** The dependency works on a call for a while after its caller has given it up. */
    void onCallLingers() {
        lingeringUntilMicros.add(
                clock.nowMicros() + settings.current().dependency().abandonedCallLingerMicros());
    }

    /** Updates the mean of outstanding and lingering calls over the averaging window. */
    void updateMean() {
        long now = clock.nowMicros();
        lingeringUntilMicros.removeIf(untilMicros -> untilMicros < now);
        double windowMicros = Math.max(1.0, settings.current().dependency().averagingWindowMicros());
        double weight = Math.exp(-(now - averagedAtMicros) / windowMicros);
        meanOutstanding = meanOutstanding * weight + (outstanding + lingeringUntilMicros.size()) * (1 - weight);
        averagedAtMicros = now;
    }

    /** Adapts the bound to a call that ended; a rejected call shows a crowded dependency. */
    void adaptToCall(boolean rejected) {
        if (rejected || isSlow(recentCallMicros)) {
            shrink();
        } else {
            bound = Math.min(configured, bound + configured * MIN_BOUND_SHARE * GROWTH_SHARE);
        }
    }

    /** Adapts the bound to the ages of outstanding calls, which show a stall before any of them ends. */
    void adaptToAges() {
        if (isSlow(medianAgeMicros())) {
            shrink();
        }
    }

    private void shrink() {
        bound = Math.max(configured * MIN_BOUND_SHARE, bound * SHRINK_FACTOR);
    }

    private boolean isSlow(double callMicros) {
        return usualCallMicros > 0
                && callMicros > Math.max(SLOW_FACTOR * usualCallMicros, usualCallMicros + SCHEDULING_NOISE_MICROS);
    }

    /** The median: with a mean, or from one call of several, one lost reply would look like a slow dependency. */
    private double medianAgeMicros() {
        long now = clock.nowMicros();
        long[] agesMicros = inFlight.all().stream()
                .filter(tracked -> tracked.state == RequestState.CALLING)
                .mapToLong(tracked -> now - tracked.stateSinceMicros())
                .sorted()
                .toArray();
        double minCalls = Math.max(1, Math.min(MEDIAN_MIN_CALLS, configured / 2));
        return agesMicros.length < minCalls ? 0 : agesMicros[(agesMicros.length - 1) / 2];
    }
}

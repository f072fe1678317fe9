package wheatspread.admission.sfq;

import java.util.Arrays;

/**
 * Estimates service times from completed runs: the cost of a request for the fair queue, the expected time of a run,
 * and the time for which a run occupies one of the D slots. All times are in microseconds.
 */
final class ServiceTimeEstimator {
    /** Initial slot time before any run has ended, as a share of the shortest latency objective at full speed. */
    private static final double INITIAL_SLOT_SHARE = 0.25;
    /** Median of service times, as a share of their mean. */
    private static final double MEDIAN_OF_MEAN = 0.7;
    /** Smoothing gain of the share of abandoned runs, per run. */
    private static final double ABANDONED_GAIN = 0.05;
    /** Ratio of the current slot time to the usual one above which a prediction from a hint is stretched. */
    private static final double MIN_HINT_STRETCH_RATIO = 2;

    private final ReloadableSettings settings;
    private final DecisionClock clock;
    private final InFlightRequests inFlight;
    private final SlowStart slowStart;
    private final WorkHintModel hints;
    /** Mean time on the cores, by request class; 0 before any run of the class has ended. */
    private double[] meanCoreMicros;
    /** Mean time from start to end, dependency calls included, by request class; 0 before any run has ended. */
    private double[] meanElapsedMicros;

    private double meanCoreMicrosOfAllClasses;
    private double meanHintMicros;
    private double abandonedShare;
    private double slotMicros;

    ServiceTimeEstimator(
            ReloadableSettings settings, DecisionClock clock, InFlightRequests inFlight, SlowStart slowStart) {
        this.settings = settings;
        this.clock = clock;
        this.inFlight = inFlight;
        this.slowStart = slowStart;
        hints = new WorkHintModel(settings.answerMarginMicros());
        meanCoreMicros = new double[settings.classCount()];
        meanElapsedMicros = new double[settings.classCount()];
    }

    /** Extends the per-class estimates after a reload has added request classes. */
    void resizeClasses(int classCount) {
        meanCoreMicros = Arrays.copyOf(meanCoreMicros, classCount);
        meanElapsedMicros = Arrays.copyOf(meanElapsedMicros, classCount);
    }

    /**
     * Updates the mean hint with the work hint of a request, if it has one, and returns the cost c of the request for
     * the fair queue: the work hint over the mean hint; without a hint, the mean core time of the class over that of
     * all classes, or 1 before a run of the class has ended.
     */
    double recordHintAndEstimateCost(TrackedRequest tracked) {
        double hintMicros = tracked.request.expectedWorkMicros();
        if (hintMicros > 0) {
            meanHintMicros = RunningMean.update(meanHintMicros, hintMicros);
            return hintMicros / meanHintMicros;
        }
        double classCoreMicros = meanCoreMicros[tracked.request.requestClass()];
        return classCoreMicros > 0 && meanCoreMicrosOfAllClasses > 0 ? classCoreMicros / meanCoreMicrosOfAllClasses : 1;
    }

    /** Updates the estimates with a completed run. */
    void recordCompletion(TrackedRequest tracked, long elapsedMicros) {
        int index = tracked.request.requestClass();
        long coreMicros = tracked.coreMicros();
        meanCoreMicros[index] = RunningMean.update(meanCoreMicros[index], coreMicros);
        meanElapsedMicros[index] = RunningMean.update(meanElapsedMicros[index], elapsedMicros);
        meanCoreMicrosOfAllClasses = RunningMean.update(meanCoreMicrosOfAllClasses, coreMicros);
        abandonedShare += ABANDONED_GAIN * (0 - abandonedShare);
        updateHintModel(tracked, coreMicros);
    }

    /**
     * Updates the estimates with a run that is being abandoned. The core time so far is a lower bound of the core time
     * of the whole run, and is counted as if the run were complete.
     */
    void recordAbandonment(TrackedRequest tracked) {
        abandonedShare += ABANDONED_GAIN * (1 - abandonedShare);
        updateHintModel(tracked, tracked.coreMicrosUntil(clock.nowMicros()));
    }

    private void updateHintModel(TrackedRequest tracked, long coreMicros) {
        if (tracked.request.expectedWorkMicros() <= 0) {
            return;
        }
        hints.update(tracked.request.expectedWorkMicros(), coreMicros);
    }

    /** Returns the smoothed share of runs that were abandoned. */
    double abandonedShare() {
        return abandonedShare;
    }

    double meanElapsedMicros(int requestClass) {
        return meanElapsedMicros[requestClass];
    }

    /**
     * Returns the expected time of a run; the estimate is a median, so half of the runs take longer. The mean time of
     * dependency calls is added, since hints do not cover it. A few long runs make the server look slow, so a
     * prediction from a hint is stretched only once the slot time is more than {@value #MIN_HINT_STRETCH_RATIO} times
     * the usual one.
     */
    double expectedMicros(TrackedRequest tracked) {
        double elapsedMicros = meanElapsedMicros[tracked.request.requestClass()];
        double slowdown = meanCoreMicrosOfAllClasses > 0 ? Math.max(1, slotMicros / meanCoreMicrosOfAllClasses) : 1;
        double hintMicros = tracked.request.expectedWorkMicros();
        if (hintMicros <= 0) {
            return MEDIAN_OF_MEAN * slowdown * elapsedMicros;
        }
        double coreMicros = hints.coreMicros(hintMicros, slowStart.guaranteedSpeed());
        return coreMicros * Math.max(1, slowdown / MIN_HINT_STRETCH_RATIO)
                + elapsedMicros
                - meanCoreMicros[tracked.request.requestClass()];
    }

    /**
     * Updates the slot time. When every core has a run, the mean age of the runs counts too, since it shows a stall
     * before any run ends.
     */
    void updateSlotTime() {
        long nowMicros = clock.nowMicros();
        double[] agesMicros = inFlight.requests().stream()
                .filter(tracked -> tracked.state == RequestState.RUNNING)
                .mapToDouble(tracked -> tracked.coreMicrosUntil(nowMicros))
                .toArray();
        double usualMicros = meanCoreMicrosOfAllClasses > 0
                ? meanCoreMicrosOfAllClasses
                : INITIAL_SLOT_SHARE * settings.shortestObjectiveMicros() / slowStart.guaranteedSpeed();
        double meanAgeMicros = Arrays.stream(agesMicros).average().orElse(0);
        slotMicros = agesMicros.length < settings.coreCount() ? usualMicros : Math.max(usualMicros, meanAgeMicros);
    }

    /** Returns how long a run occupies a slot. */
    double slotMicros() {
        return slotMicros;
    }

    /**
     * Returns the speed that the server is known to have, as a share of its full speed: the speed that its warm-up
     * guarantees, or a higher one if its runs took less time than their hints predict. A warm server has 1. Clients use
     * the offered capacity at once, so a cold server that offered its full capacity would be overloaded.
     */
    double provenSpeed() {
        double guaranteed = slowStart.guaranteedSpeed();
        return guaranteed >= 1 ? 1 : Math.min(1, Math.max(guaranteed, hints.measuredSpeed()));
    }
}

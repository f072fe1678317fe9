package wheatspread.admission.sfq;

import java.util.Arrays;

/**
 * What runs take, learned from those that ended: the cost of a request for the fair queue, the expected time of a
 * run, and the time for which a run occupies one of the D slots. All times are microseconds.
 */
final class ServiceTimeEstimator {
    /** Slot time before any run has ended, as a share of the shortest objective at full speed. */
    private static final double INITIAL_SLOT_SHARE = 0.25;
    /** Median of service times as a share of their mean. */
    private static final double MEDIAN_OF_MEAN = 0.7;
    /** Smoothing of the share of runs given up, per run. */
    private static final double ABANDONED_GAIN = 0.05;
    /** How many times the usual slot time the current one must be to stretch the prediction from a hint. */
    private static final double HINT_STRETCH_THRESHOLD = 2;

    private final ReloadableSettings settings;
    private final DecisionClock clock;
    private final InFlightRequests inFlight;
    private final SlowStart slowStart;
    private final WorkHintModel hints;
    /** By class: mean time on the cores. */
    private double[] meanCoreMicros;
    /** By class: mean time from start to end, calls included. */
    private double[] meanElapsedMicros;

    private double meanCoreMicrosOfAll;
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

    /** Makes room for classes that a reload added. */
    void resizeClasses(int classCount) {
        meanCoreMicros = Arrays.copyOf(meanCoreMicros, classCount);
        meanElapsedMicros = Arrays.copyOf(meanElapsedMicros, classCount);
    }

    /**
     * The cost c of a request: its hint over the mean hint, else its class's mean time on the cores over that of all
     * classes, else one unit. A hint is counted into the mean.
     */
    double cost(TrackedRequest tracked) {
        double hintMicros = tracked.request.expectedWorkMicros();
        if (hintMicros > 0) {
            meanHintMicros = RunningMean.update(meanHintMicros, hintMicros);
            return hintMicros / meanHintMicros;
        }
        double ofClass = meanCoreMicros[tracked.request.requestClass()];
        return ofClass > 0 && meanCoreMicrosOfAll > 0 ? ofClass / meanCoreMicrosOfAll : 1;
    }

    /** Learns from a run that ended. */
    void recordCompletion(TrackedRequest tracked, long elapsedMicros) {
        int index = tracked.request.requestClass();
        long coreMicros = tracked.coreMicros();
        meanCoreMicros[index] = RunningMean.update(meanCoreMicros[index], coreMicros);
        meanElapsedMicros[index] = RunningMean.update(meanElapsedMicros[index], elapsedMicros);
        meanCoreMicrosOfAll = RunningMean.update(meanCoreMicrosOfAll, coreMicros);
        abandonedShare += ABANDONED_GAIN * (0 - abandonedShare);
        learnHint(tracked, coreMicros);
    }

    /** Learns from a run that is given up now; the time it had counts, as it would have taken longer. */
    void recordAbandonment(TrackedRequest tracked) {
        abandonedShare += ABANDONED_GAIN * (1 - abandonedShare);
        learnHint(tracked, tracked.coreMicrosUntil(clock.nowMicros()));
    }

    private void learnHint(TrackedRequest tracked, long coreMicros) {
        if (tracked.request.expectedWorkMicros() <= 0) {
            return;
        }
        hints.learn(tracked.request.expectedWorkMicros(), coreMicros);
    }

    /** The share of recent runs that were given up. */
    double abandonedShare() {
        return abandonedShare;
    }

    double meanElapsedMicros(int requestClass) {
        return meanElapsedMicros[requestClass];
    }

    /**
     * How long a run likely takes; half of them take longer. Calls add their mean time, which hints do not cover. A
     * few long runs look like a slow server, so a prediction from a hint is stretched only once the slot time is
     * twice the usual.
     */
    double expectedMicros(TrackedRequest tracked) {
        double elapsedMicros = meanElapsedMicros[tracked.request.requestClass()];
        double slowdown = meanCoreMicrosOfAll > 0 ? Math.max(1, slotMicros / meanCoreMicrosOfAll) : 1;
        double hintMicros = tracked.request.expectedWorkMicros();
        if (hintMicros <= 0) {
            return MEDIAN_OF_MEAN * slowdown * elapsedMicros;
        }
        double coreMicros = hints.coreMicros(hintMicros, slowStart.guaranteedSpeed());
        return coreMicros * Math.max(1, slowdown / HINT_STRETCH_THRESHOLD)
                + elapsedMicros
                - meanCoreMicros[tracked.request.requestClass()];
    }

    /** Updates the slot time. With a run on every core their ages count, which show a stall before any run ends. */
    void updateSlotTime() {
        long now = clock.nowMicros();
        double[] agesMicros = inFlight.all().stream()
                .filter(tracked -> tracked.state == RequestState.RUNNING)
                .mapToDouble(tracked -> tracked.coreMicrosUntil(now))
                .toArray();
        double usualMicros = meanCoreMicrosOfAll > 0
                ? meanCoreMicrosOfAll
                : INITIAL_SLOT_SHARE * settings.shortestObjectiveMicros() / slowStart.guaranteedSpeed();
        double meanAgeMicros = Arrays.stream(agesMicros).average().orElse(0);
        slotMicros = agesMicros.length < settings.cores() ? usualMicros : Math.max(usualMicros, meanAgeMicros);
    }

    /** How long a run occupies a slot. */
    double slotMicros() {
        return slotMicros;
    }

    /**
     * The share of its full speed that the server is known to have: what its warm-up guarantees, or more where its
     * runs took less than their hints predict at that speed. A warm server has 1. Clients fill the offered capacity
     * at once, so a cold server that offered all of it would be overloaded.
     */
    double provenSpeed() {
        double guaranteed = slowStart.guaranteedSpeed();
        return guaranteed >= 1 ? 1 : Math.min(1, Math.max(guaranteed, hints.measuredSpeed()));
    }
}

package wheatspread.admission.sfq;

/**
 * Predicts the time on the cores from a request's work hint: a least-squares fit of the logarithm of core time on the
 * logarithm of the hint, with exponential forgetting. The means adapt faster than the slope, since speed changes while
 * a process warms up. Until enough runs have ended, the prediction is the hint divided by the guaranteed speed.
 */
final class WorkHintModel {
    /** Minimum smoothing gain of the variance and the covariance, per run. */
    private static final double MIN_SLOPE_GAIN = 0.01;
    /** Minimum smoothing gain of the means, per run. */
    private static final double MIN_MEAN_GAIN = 0.05;
    /** Lower bound on the variance of hints; below it the slope is damped. */
    private static final double MIN_HINT_VARIANCE = 0.01;
    /** Number of runs from which the fitted relation replaces the hint itself. */
    private static final int MIN_RUNS = 10;

    private final long minCoreMicros;
    private long runs;
    private double meanLogHint;
    private double meanLogCoreMicros;
    private double hintVariance;
    private double covariance;

    /**
     * Creates a model without observations.
     *
     * @param minCoreMicros lower bound on core times; shorter ones count as this
     */
    WorkHintModel(long minCoreMicros) {
        this.minCoreMicros = minCoreMicros;
    }

    void update(double hintMicros, long coreMicros) {
        runs++;
        double slopeGain = Math.max(MIN_SLOPE_GAIN, 1.0 / runs);
        double meanGain = Math.max(MIN_MEAN_GAIN, slopeGain);
        double hintDeviation = Math.log(hintMicros) - meanLogHint;
        double coreDeviation = Math.log(Math.max(minCoreMicros, coreMicros)) - meanLogCoreMicros;
        meanLogHint += meanGain * hintDeviation;
        meanLogCoreMicros += meanGain * coreDeviation;
        hintVariance += slopeGain * ((1 - slopeGain) * hintDeviation * hintDeviation - hintVariance);
        covariance += slopeGain * ((1 - slopeGain) * hintDeviation * coreDeviation - covariance);
    }

    /** Returns the predicted time on the cores of a run with this hint, in microseconds. */
    double coreMicros(double hintMicros, double guaranteedSpeed) {
        if (runs < MIN_RUNS) {
            return hintMicros / guaranteedSpeed;
        }
        double slope = Math.min(1, covariance / Math.max(hintVariance, MIN_HINT_VARIANCE));
        return Math.exp(meanLogCoreMicros + slope * (Math.log(hintMicros) - meanLogHint));
    }

    /**
     * Returns the measured speed of runs relative to their hints, where 1 is the usual speed; 0 until enough runs have
     * ended.
     */
    double measuredSpeed() {
        return runs < MIN_RUNS ? 0 : Math.exp(meanLogHint - meanLogCoreMicros);
    }
}

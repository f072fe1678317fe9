package wheatspread.admission.sfq;

/**
 * What work hints predict of the time on the cores: a least-squares slope over the logarithms of hint and core time,
 * with exponential forgetting. The means adapt faster than the slope, since speed changes while a process warms up.
 * Until enough runs ended, the hint itself, over the guaranteed speed, is the prediction.
 */
final class WorkHintModel {
    /** Least share of the distance to a new observation that the slope's sums move. */
    private static final double MIN_SLOPE_GAIN = 0.01;
    /** Least share of the distance to a new observation that the means move. */
    private static final double MIN_MEAN_GAIN = 0.05;
    /** Floor of the variance of hints: below it the slope is damped. */
    private static final double MIN_HINT_VARIANCE = 0.01;
    /** Runs after which the measured relation replaces the hint itself. */
    private static final int MIN_RUNS = 10;

    private final long minCoreMicros;
    private int runs;
    private double meanLogHint;
    private double meanLogCoreMicros;
    private double hintVariance;
    private double covariance;

    /**
     * Makes a model that has seen no run.
     *
     * @param minCoreMicros shorter times on the cores count as this
     */
    WorkHintModel(long minCoreMicros) {
        this.minCoreMicros = minCoreMicros;
    }

    void learn(double hintMicros, long coreMicros) {
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

    /** The predicted time on the cores of a run with this hint. */
    double coreMicros(double hintMicros, double guaranteedSpeed) {
        if (runs < MIN_RUNS) {
            return hintMicros / guaranteedSpeed;
        }
        double slope = Math.min(1, covariance / Math.max(hintVariance, MIN_HINT_VARIANCE));
        return Math.exp(meanLogCoreMicros + slope * (Math.log(hintMicros) - meanLogHint));
    }

    /** Speed of the runs beside their hints, 1 being the usual speed; 0 until enough runs ended. */
    double measuredSpeed() {
        return runs < MIN_RUNS ? 0 : Math.exp(meanLogHint - meanLogCoreMicros);
    }
}

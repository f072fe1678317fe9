package wheatspread.admission.sfq;

/** The exponentially smoothed mean of service times, hints and waits. */
final class RunningMean {
    /** Share of the distance to a new observation that the mean moves. */
    private static final double GAIN = 0.05;

    private RunningMean() {}

    /** The mean after a new observation; 0 means that there was none before. */
    static double update(double mean, double observation) {
        return mean == 0 ? observation : mean + GAIN * (observation - mean);
    }
}

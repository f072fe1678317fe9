package wheatspread.admission.sfq;

/** Exponential smoothing of service times, hints and waits. */
final class RunningMean {
    /** Smoothing gain: the share of the distance to a new observation that the mean moves. */
    private static final double GAIN = 0.05;

    private RunningMean() {}

    /**
     * Returns the mean after a new observation. A mean of 0 stands for no earlier observation, and becomes the
     * observation.
     */
    static double update(double mean, double observation) {
        return mean == 0 ? observation : mean + GAIN * (observation - mean);
    }
}

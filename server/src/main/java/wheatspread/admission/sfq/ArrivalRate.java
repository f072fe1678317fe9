package wheatspread.admission.sfq;

/** The exponentially smoothed number of arrivals per tick. */
final class ArrivalRate {
    /** Minimum smoothing gain per tick; the mean covers some seconds. */
    private static final double MIN_GAIN = 0.01;

    private int arrivalsSinceTick;
    private long ticks;
    private double meanPerTick;

    void recordArrival() {
        arrivalsSinceTick++;
    }

    boolean hasArrivalsSinceTick() {
        return arrivalsSinceTick > 0;
    }

    void endTick() {
        ticks++;
        meanPerTick += Math.max(MIN_GAIN, 1.0 / ticks) * (arrivalsSinceTick - meanPerTick);
        arrivalsSinceTick = 0;
    }

    double meanPerTick() {
        return meanPerTick;
    }
}

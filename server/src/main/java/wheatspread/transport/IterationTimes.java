package wheatspread.transport;

/**
 * A histogram of how long event-loop iterations took, without their waiting, in powers of two, and the longest
 * one. Used on the event loop only.
 */
public final class IterationTimes {
    private static final int BUCKETS = 40;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final double LOGGED_QUANTILE = 0.99;

    private final long[] counts = new long[BUCKETS];
    private long iterations;
    private long busyNanos;
    private long longestNanos;

    void add(long nanos) {
        counts[Math.min(counts.length - 1, 64 - Long.numberOfLeadingZeros(nanos / NANOS_PER_MICRO))]++;
        iterations++;
        busyNanos += nanos;
        longestNanos = Math.max(longestNanos, nanos);
    }

    /** What is logged, as alternating names and values; resets the longest iteration. */
    public Object[] fields() {
        return new Object[] {
            "count",
            iterations,
            "busy_us",
            busyMicros(),
            "p99_us",
            quantileMicros(LOGGED_QUANTILE),
            "longest_us",
            takeLongestMicros()
        };
    }

    public long iterations() {
        return iterations;
    }

    /** The time of all iterations together. */
    public long busyMicros() {
        return busyNanos / NANOS_PER_MICRO;
    }

    /** The longest iteration since the last call. */
    public long takeLongestMicros() {
        long longestMicros = longestNanos / NANOS_PER_MICRO;
        longestNanos = 0;
        return longestMicros;
    }

    /** A time, rounded up to a power of two, that this fraction of the iterations did not exceed. */
    public long quantileMicros(double fraction) {
        long remaining = (long) Math.ceil(fraction * iterations);
        for (int i = 0; i < counts.length; i++) {
            remaining -= counts[i];
            if (remaining <= 0) {
                return 1L << i;
            }
        }
        return Long.MAX_VALUE;
    }
}

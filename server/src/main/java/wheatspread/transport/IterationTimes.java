package wheatspread.transport;

/**
 * Records the durations of event-loop iterations, without the time spent waiting for events: a histogram with
 * bucket limits at powers of two microseconds, and the longest duration. Used on the event loop only.
 */
public final class IterationTimes {
    private static final int BUCKET_COUNT = 40;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final double LOGGED_QUANTILE = 0.99;

    private final long[] counts = new long[BUCKET_COUNT];
    private long iterations;
    private long busyNanos;
    private long longestNanos;

    void add(long nanos) {
        counts[Math.min(counts.length - 1, 64 - Long.numberOfLeadingZeros(nanos / NANOS_PER_MICRO))]++;
        iterations++;
        busyNanos += nanos;
        longestNanos = Math.max(longestNanos, nanos);
    }

    /** Returns the log fields as alternating names and values, and resets the longest duration. */
    public Object[] takeLogFields() {
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

    /** Returns the sum of the durations of all iterations since the start, in microseconds. */
    public long busyMicros() {
        return busyNanos / NANOS_PER_MICRO;
    }

    /** Returns the longest duration since the last call, in microseconds, and resets it. */
    public long takeLongestMicros() {
        long longestMicros = longestNanos / NANOS_PER_MICRO;
        longestNanos = 0;
        return longestMicros;
    }

    /**
     * Returns the duration in microseconds, rounded up to a power of two, that {@code fraction} of the iterations
     * did not exceed.
     */
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

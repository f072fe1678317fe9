package wheatspread.transport;

/**
 * How long the turns of the event loop took without their waiting: counts by powers of two, and the longest
 * one. Times are nanoseconds inside and microseconds outside.
 */
public final class IterationTimes {
    private final long[] counts = new long[40];
    private long iterations;
    private long busy;
    private long longest;

    void add(long nanos) {
        counts[Math.min(counts.length - 1, 64 - Long.numberOfLeadingZeros(nanos / 1_000))]++;
        iterations++;
        busy += nanos;
        longest = Math.max(longest, nanos);
    }

    /** What is logged, as names and values in turns; the longest one since it was last asked for. */
    public Object[] fields() {
        return new Object[] {
            "count",
            iterations,
            "busy_us",
            busyMicros(),
            "p99_us",
            quantileMicros(0.99),
            "longest_us",
            takeLongestMicros()
        };
    }

    public long iterations() {
        return iterations;
    }

    /** The time of all turns together. */
    public long busyMicros() {
        return busy / 1_000;
    }

    /** The longest turn since this was last asked for. */
    public long takeLongestMicros() {
        long taken = longest / 1_000;
        longest = 0;
        return taken;
    }

    /** A time that so great a share of the turns stayed under, to the next power of two. */
    public long quantileMicros(double share) {
        long left = (long) Math.ceil(share * iterations);
        for (int i = 0; i < counts.length; i++) {
            left -= counts[i];
            if (left <= 0) {
                return 1L << i;
            }
        }
        return Long.MAX_VALUE;
    }
}

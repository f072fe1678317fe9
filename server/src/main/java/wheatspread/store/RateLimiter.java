package wheatspread.store;

/**
 * Limits the rate of work that is done in steps by computing a delay after each step. Not thread-safe. Reads no
 * clock: the caller passes the time.
 */
final class RateLimiter {
    private static final long MAX_DELAY_NANOS = 1_000_000_000;

    private final double nanosPerByte;
    private long freeAtNanos;

    RateLimiter(long bytesPerSecond, long nowNanos) {
        nanosPerByte = 1e9 / bytesPerSecond;
        freeAtNanos = nowNanos;
    }

    /** Counts a completed step, and returns the delay before the next step in nanoseconds. */
    long delayNanosAfter(long bytes, long nowNanos) {
        freeAtNanos = Math.max(freeAtNanos, nowNanos - MAX_DELAY_NANOS / 10) + (long) (bytes * nanosPerByte);
        return Math.min(MAX_DELAY_NANOS, Math.max(0, freeAtNanos - nowNanos));
    }
}

package wheatspread.store;

/**
 * Limits the rate of work that is done in steps: computes how long to wait after each. For one thread. No
 * clock: the caller passes the time.
 */
final class RateLimiter {
    private static final long MAX_DELAY_NANOS = 1_000_000_000;

    private final double nanosPerByte;
    private long freeAtNanos;

    RateLimiter(long bytesPerS, long now) {
        nanosPerByte = 1e9 / bytesPerS;
        freeAtNanos = now;
    }

    /** Counts a step that has been done, and returns how many nanoseconds to wait. */
    long delayNanosAfter(long bytes, long now) {
        freeAtNanos = Math.max(freeAtNanos, now - MAX_DELAY_NANOS / 10) + (long) (bytes * nanosPerByte);
        return Math.min(MAX_DELAY_NANOS, Math.max(0, freeAtNanos - now));
    }
}

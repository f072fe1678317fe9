package wheatspread.store;

/** A rate for work that is done in pieces: how long to wait behind each. No clock; times are nanoseconds. */
final class RateLimiter {
    private static final long MOST_BEHIND = 1_000_000_000;

    private final double nanosPerByte;
    private long free;

    RateLimiter(long bytesPerS, long now) {
        nanosPerByte = 1e9 / bytesPerS;
        free = now;
    }

    /** Counts a piece that has been done, and returns for how long to rest. */
    long delayAfter(long bytes, long now) {
        free = Math.max(free, now - MOST_BEHIND / 10) + (long) (bytes * nanosPerByte);
        return Math.min(MOST_BEHIND, Math.max(0, free - now));
    }
}

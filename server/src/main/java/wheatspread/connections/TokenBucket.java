package wheatspread.connections;

/**
 * A token bucket that may be overdrawn by what has been taken already: who asks too fast waits until it is
 * paid back. Times are microseconds.
 */
final class TokenBucket {
    private final double perMicro;
    private final double most;
    private double tokens;
    private long filledAt;

    /** A rate of 0 per second means no limit. */
    TokenBucket(int perSecond, int burst, long now) {
        perMicro = perSecond / 1e6;
        most = burst;
        tokens = burst;
        filledAt = now;
    }

    /** Takes one, and returns for how long nobody should take another; 0 if one may at once. */
    long take(long now) {
        if (perMicro == 0) {
            return 0;
        }
        tokens = Math.min(most, tokens + Math.max(0, now - filledAt) * perMicro) - 1;
        filledAt = Math.max(filledAt, now);
        return tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) / perMicro);
    }
}

package wheatspread.connections;

/**
 * A token bucket that may be overdrawn: what has been taken already cannot be given back, so the caller waits
 * until the debt is paid.
 */
final class TokenBucket {
    private static final double MICROS_PER_SECOND = 1e6;

    private final double tokensPerMicro;
    private final double capacity;
    private double tokens;
    private long filledAtMicros;

    /** A rate of 0 per second means no limit. */
    TokenBucket(int perSecond, int burst, long nowMicros) {
        tokensPerMicro = perSecond / MICROS_PER_SECOND;
        capacity = burst;
        tokens = burst;
        filledAtMicros = nowMicros;
    }

    /** Takes a token and returns how long to wait before the next one, in microseconds; 0 for no wait. */
    long take(long nowMicros) {
        if (tokensPerMicro == 0) {
            return 0;
        }
        double refill = Math.max(0, nowMicros - filledAtMicros) * tokensPerMicro;
        tokens = Math.min(capacity, tokens + refill) - 1;
        filledAtMicros = Math.max(filledAtMicros, nowMicros);
        return tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) / tokensPerMicro);
    }
}

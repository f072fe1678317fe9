package wheatspread.connections;

/**
 * A token bucket whose level may become negative: a connection that was accepted cannot be returned to the
 * accept queue, so {@link #take} always takes a token, and its caller waits until the bucket holds a token again.
 */
final class TokenBucket {
    private static final double MICROS_PER_SECOND = 1e6;

    private final double tokensPerMicro;
    private final double capacity;
    private double tokens;
    private long refilledAtMicros;

    /** Creates a full bucket; {@code tokensPerSecond} of 0 means no limit. */
    TokenBucket(int tokensPerSecond, int burst, long nowMicros) {
        tokensPerMicro = tokensPerSecond / MICROS_PER_SECOND;
        capacity = burst;
        tokens = burst;
        refilledAtMicros = nowMicros;
    }

    /** Takes a token and returns the microseconds to wait before taking the next; 0 for no wait. */
    long take(long nowMicros) {
        if (tokensPerMicro == 0) {
            return 0;
        }
        double refill = Math.max(0, nowMicros - refilledAtMicros) * tokensPerMicro;
        tokens = Math.min(capacity, tokens + refill) - 1;
        refilledAtMicros = Math.max(refilledAtMicros, nowMicros);
        return tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) / tokensPerMicro);
    }
}

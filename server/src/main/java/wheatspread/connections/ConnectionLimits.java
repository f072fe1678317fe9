package wheatspread.connections;

/**
 * The limits for the connections of one front. Times are microseconds.
 *
 * @param maxConnections connections at a time
 * @param maxPerSource connections of one address at a time; 0 for no limit but the one for all
 * @param acceptsPerSecond how fast connections are accepted; 0 for no limit
 * @param acceptBurst how many may be accepted at once after a pause
 * @param firstRequest time limit from the accept to the first byte
 * @param wholeRequest time limit from the first to the last byte of a message
 * @param idleTimeoutMicros time limit for an idle connection; 0 for none
 * @param lingering time limit for a lingering connection that does not take its answers
 * @param toSpeak a connection that sends nothing for longer is evicted before others
 * @param mostHeld bytes of partial messages, over all connections
 * @param mostWaiting bytes of answers that stalled callers do not read, over all connections
 * @param refusal what a rejected connection gets
 */
public record ConnectionLimits(
        int maxConnections,
        int maxPerSource,
        int acceptsPerSecond,
        int acceptBurst,
        long firstRequest,
        long wholeRequest,
        long idleTimeoutMicros,
        long lingering,
        long toSpeak,
        long mostHeld,
        long mostWaiting,
        Refusal refusal) {
    /** What a rejected connection gets: an orderly close, a reset, or an answer and an orderly close. */
    public enum Refusal {
        CLOSE,
        RESET,
        ANSWER
    }

    /** The limits that hold unless the operator's file says otherwise. */
    public static ConnectionLimits usual(int maxConnections) {
        return new ConnectionLimits(
                maxConnections,
                0,
                0,
                1_000,
                2_000_000,
                2_000_000,
                0,
                2_000_000,
                200_000,
                8 << 20,
                12 << 20,
                Refusal.CLOSE);
    }

    /** The same limits for another number of connections. */
    public ConnectionLimits with(int connections) {
        return new ConnectionLimits(
                connections,
                maxPerSource,
                acceptsPerSecond,
                acceptBurst,
                firstRequest,
                wholeRequest,
                idleTimeoutMicros,
                lingering,
                toSpeak,
                mostHeld,
                mostWaiting,
                refusal);
    }
}

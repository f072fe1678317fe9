package wheatspread.connections;

/**
 * The limits for the connections of one front. Times are microseconds.
 *
 * @param maxConnections connections at a time
 * @param maxPerSource connections of one address at a time; 0 for no limit but the one for all
 * @param acceptsPerSecond how fast connections are accepted; 0 for no limit
 * @param acceptBurst how many may be accepted at once after a pause
 * @param firstByteTimeoutMicros time limit from the accept to the first byte
 * @param messageTimeoutMicros time limit from the first to the last byte of a message
 * @param idleTimeoutMicros time limit for an idle connection; 0 for none
 * @param lingerTimeoutMicros time limit for a lingering connection that does not take its answers
 * @param evictionGraceMicros a connection that sends nothing for longer is evicted before others
 * @param maxPartialBytes bytes of partial messages, over all connections
 * @param maxPendingWriteBytes bytes of answers that stalled callers do not read, over all connections
 * @param rejection what a rejected connection gets
 */
public record ConnectionLimits(
        int maxConnections,
        int maxPerSource,
        int acceptsPerSecond,
        int acceptBurst,
        long firstByteTimeoutMicros,
        long messageTimeoutMicros,
        long idleTimeoutMicros,
        long lingerTimeoutMicros,
        long evictionGraceMicros,
        long maxPartialBytes,
        long maxPendingWriteBytes,
        Rejection rejection) {
    /** What a rejected connection gets: an orderly close, a reset, or an answer and an orderly close. */
    public enum Rejection {
        CLOSE,
        RESET,
        ANSWER
    }

    /** The limits that hold unless the operator's file says otherwise. */
    public static ConnectionLimits defaults(int maxConnections) {
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
                Rejection.CLOSE);
    }

    /** The same limits for another number of connections. */
    public ConnectionLimits withMaxConnections(int connections) {
        return new ConnectionLimits(
                connections,
                maxPerSource,
                acceptsPerSecond,
                acceptBurst,
                firstByteTimeoutMicros,
                messageTimeoutMicros,
                idleTimeoutMicros,
                lingerTimeoutMicros,
                evictionGraceMicros,
                maxPartialBytes,
                maxPendingWriteBytes,
                rejection);
    }
}

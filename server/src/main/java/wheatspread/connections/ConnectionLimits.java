package wheatspread.connections;

/**
 * The limits for the connections of one front.
 *
 * @param maxConnections maximum number of simultaneous connections
 * @param maxConnectionsPerSource maximum number of simultaneous connections from one source address; 0 for no
 *     limit other than {@code maxConnections}
 * @param acceptsPerSecond sustained rate of accepted connections; 0 for no limit
 * @param acceptBurst number of connections that may be accepted at once after a pause
 * @param firstByteTimeoutMicros time limit in microseconds from the accept to the first byte
 * @param messageTimeoutMicros time limit in microseconds from the first to the last byte of a message
 * @param idleTimeoutMicros time limit in microseconds for an idle connection; 0 for none
 * @param lingerTimeoutMicros time limit in microseconds for a lingering connection whose client reads none of
 *     its pending answers
 * @param evictionGraceMicros time in microseconds after which a connection without a whole message is evicted
 *     before idle connections
 * @param maxPartialBytes maximum bytes of partial messages, summed over all connections
 * @param maxPendingWriteBytes maximum bytes of answers that stalled clients have not read, summed over all
 *     connections
 * @param rejection how a rejected connection is closed
 */
public record ConnectionLimits(
        int maxConnections,
        int maxConnectionsPerSource,
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
    /** How a rejected connection is closed: by an orderly close, a reset, or an answer and an orderly close. */
    public enum Rejection {
        CLOSE,
        RESET,
        ANSWER
    }

    /** Returns the limits that apply unless the operator's file sets others. */
    public static ConnectionLimits defaults(int maxConnections) {
        return new ConnectionLimits(
                maxConnections,
                0, // maxConnectionsPerSource
                0, // acceptsPerSecond
                1_000, // acceptBurst
                2_000_000, // firstByteTimeoutMicros
                2_000_000, // messageTimeoutMicros
                0, // idleTimeoutMicros
                2_000_000, // lingerTimeoutMicros
                200_000, // evictionGraceMicros
                8 << 20, // maxPartialBytes
                12 << 20, // maxPendingWriteBytes
                Rejection.CLOSE);
    }

    /** Returns a copy of these limits with another maximum number of connections. */
    public ConnectionLimits withMaxConnections(int connections) {
        return new ConnectionLimits(
                connections,
                maxConnectionsPerSource,
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

package wheatspread.scheduling;

/**
 * The limits of the work that one event-loop iteration does for new requests, timers and time limits.
 *
 * @param maxBytes maximum number of bytes read from clients
 * @param maxRequests maximum number of whole requests read
 * @param maxMessagesPerRead maximum number of messages processed in one read of one connection
 * @param maxImmediateAnswersPerRead maximum number of messages answered without the core in one read of one connection
 * @param maxReadMicros maximum time spent on reading, in microseconds
 * @param recentUseMicros a connection last used within this many microseconds does not count as idle
 * @param readsPerIdleRead at least one of this many consecutive reads is of an idle connection if any waits,
 *     so that a busy server reads idle connections too
 * @param burstThreshold number of idle connections waiting to be read at which a reconnect burst starts, see
 *     {@link ReconnectBurstLimiter}
 * @param maxExpirations maximum number of timers, and likewise of connections past a time limit, handled per
 *     iteration
 */
public record IterationBudget(
        int maxBytes,
        int maxRequests,
        int maxMessagesPerRead,
        int maxImmediateAnswersPerRead,
        int maxReadMicros,
        long recentUseMicros,
        int readsPerIdleRead,
        int burstThreshold,
        int maxExpirations) {
    /** The budget that applies unless the operator's file sets another. */
    public static final IterationBudget DEFAULT = new IterationBudget(
            256 * 1024, // maxBytes
            128, // maxRequests
            4, // maxMessagesPerRead
            2, // maxImmediateAnswersPerRead
            4_000, // maxReadMicros
            5_000_000, // recentUseMicros
            8, // readsPerIdleRead
            64, // burstThreshold
            16); // maxExpirations
}

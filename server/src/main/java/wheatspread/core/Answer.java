package wheatspread.core;

/**
 * The final answer to one attempt, independent of any protocol.
 *
 * @param kind how the attempt ended
 * @param body the result of the run; null if there is none
 * @param retryAfterMicros how long the client should wait before it retries, in microseconds; 0 for no advice
 * @param doNotRetry whether the client should not retry on another server either
 * @param loadFeedback the load feedback value sent with the answer; NaN if none is set
 */
public record Answer(Kind kind, byte[] body, long retryAfterMicros, boolean doNotRetry, double loadFeedback) {
    /**
     * How an attempt ended. Only {@code REJECTED} promises that the attempt never ran. {@code CONFLICT} answers an
     * attempt with the job name of another attempt in flight, or with the idempotency key of a request whose body is
     * different.
     */
    public enum Kind {
        SERVED,
        REJECTED,
        FAILED,
        DEADLINE_EXCEEDED,
        CONFLICT
    }
}

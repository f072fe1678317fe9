package wheatspread.core;

/**
 * The final answer to one attempt, independent of any protocol.
 *
 * @param kind what became of the attempt
 * @param body the result of the run; null where there is none
 * @param retryAfterMicros how long the caller should wait before it retries, in microseconds; 0 for no advice
 * @param doNotRetry whether the caller is asked not to retry on another server either
 * @param loadFeedback the load feedback value that goes with the answer; NaN where none is set
 */
public record Answer(Kind kind, byte[] body, long retryAfterMicros, boolean doNotRetry, double loadFeedback) {
    /**
     * What became of the attempt. Only {@code REJECTED} promises that it never ran. {@code CONFLICT} is given to
     * an attempt that uses the job name of another attempt in flight, or its idempotency key with another body.
     */
    public enum Kind {
        SERVED,
        REJECTED,
        FAILED,
        DEADLINE_EXCEEDED,
        CONFLICT
    }
}

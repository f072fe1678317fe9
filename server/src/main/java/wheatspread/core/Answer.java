package wheatspread.core;

/**
 * The final answer to one try, in no protocol's words. {@code body} is the result of a run where there is
 * one; {@code retryAfterMicros} how long the caller should stay away, in microseconds, 0 for no advice; {@code
 * doNotRetry}
 * asks that no other server be tried; {@code loadFeedback} is the free value, NaN where none was set.
 */
public record Answer(Kind kind, byte[] body, long retryAfterMicros, boolean doNotRetry, double loadFeedback) {
    /**
     * What became of the try. Only {@code REJECTED} promises that it never ran; {@code CONFLICT} is a try that
     * claims the name of another one in hand, or its key with another body.
     */
    public enum Kind {
        SERVED,
        REJECTED,
        FAILED,
        DEADLINE_EXCEEDED,
        CONFLICT
    }
}

package wheatspread.core;

/**
 * The final answer to one try, in no protocol's words. {@code body} is the result of a run where there is
 * one; {@code later} how long the caller should stay away, in microseconds, 0 for no advice; {@code last}
 * asks that no other server be tried; {@code feedback} is the free value, NaN where none was set.
 */
public record Answer(Kind kind, byte[] body, long later, boolean last, double feedback) {
    /**
     * What became of the try. Only {@code REFUSED} promises that it never ran; {@code CONFLICT} is a try that
     * claims the name of another one in hand, or its key with another body.
     */
    public enum Kind {
        SERVED,
        REFUSED,
        FAILED,
        OUT_OF_TIME,
        CONFLICT
    }
}

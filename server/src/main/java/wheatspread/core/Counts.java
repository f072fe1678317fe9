package wheatspread.core;

/** What became of the tries of this process, for its log and for tests. */
public final class Counts {
    long read;
    long served;
    long refused;
    long failed;
    long gone;
    /** Failed by the core's own timer, since they were due. */
    long overdue;
    long runs;
    long joins;
    long calls;
    long skips;

    void count(Answer.Kind kind) {
        switch (kind) {
            case SERVED -> served++;
            case REFUSED -> refused++;
            default -> failed++;
        }
    }

    @Override
    public String toString() {
        return "read " + read + ", served " + served + ", refused " + refused + ", failed " + failed
            + " (overdue " + overdue + "), gone " + gone + ", runs " + runs + ", joins " + joins + ", calls "
            + calls + ", skips " + skips;
    }
}

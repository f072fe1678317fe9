package wheatspread.core;

/** What became of the tries of this process, for its log and for tests. */
public final class Counts {
    public long read;
    public long served;
    public long refused;
    public long failed;
    public long gone;
    /** Failed by the core's own timer, since they were due. */
    public long overdue;
    public long runs;
    public long joins;
    public long calls;
    public long skips;

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

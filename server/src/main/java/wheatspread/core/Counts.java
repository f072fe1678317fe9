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
    /** Paused runs that were taken up again. */
    long resumed;

    void count(Answer.Kind kind) {
        switch (kind) {
            case SERVED -> served++;
            case REFUSED -> refused++;
            default -> failed++;
        }
    }

    /** The counts so far, for what becomes of tries from now on. */
    Counts copy() {
        Counts copy = new Counts();
        copy.read = read;
        copy.served = served;
        copy.refused = refused;
        copy.failed = failed;
        copy.gone = gone;
        copy.overdue = overdue;
        copy.runs = runs;
        copy.joins = joins;
        copy.calls = calls;
        copy.skips = skips;
        copy.resumed = resumed;
        return copy;
    }

    /** What came since another count, as names and values in turns. */
    public Object[] since(Counts old) {
        return new Object[] {"read", read - old.read, "served", served - old.served, "refused",
            refused - old.refused, "failed", failed - old.failed, "overdue", overdue - old.overdue, "gone",
            gone - old.gone, "runs", runs - old.runs, "joins", joins - old.joins, "calls", calls - old.calls,
            "skips", skips - old.skips, "resumed", resumed - old.resumed};
    }

    /** All of them, as names and values in turns. */
    public Object[] fields() {
        return since(new Counts());
    }

    @Override
    public String toString() {
        return "read " + read + ", served " + served + ", refused " + refused + ", failed " + failed
            + " (overdue " + overdue + "), gone " + gone + ", runs " + runs + ", joins " + joins + ", calls "
            + calls + ", skips " + skips;
    }
}

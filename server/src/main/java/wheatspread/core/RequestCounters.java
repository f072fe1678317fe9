package wheatspread.core;

import java.util.Map;
import java.util.TreeMap;

/** What became of the tries of this process, for its log, the operators' door and tests. */
public final class RequestCounters {
    /**
     * Final answers of each class: served, refused, failed, in that order. Only classes of the site come
     * here, so it holds no more than the settings name.
     */
    private final Map<Integer, long[]> byClass = new TreeMap<>();

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

    /** A final answer to a try of class {@code kind}, by its index in the site's classes. */
    void count(int kind, Answer.Kind answer) {
        long[] of = byClass.computeIfAbsent(kind, k -> new long[3]);
        switch (answer) {
            case SERVED -> {
                served++;
                of[0]++;
            }
            case REJECTED -> {
                refused++;
                of[1]++;
            }
            default -> {
                failed++;
                of[2]++;
            }
        }
    }

    /** The final answers of each class that has had one, by its index: served, refused and failed. */
    public Map<Integer, long[]> byClass() {
        Map<Integer, long[]> copy = new TreeMap<>();
        byClass.forEach((kind, of) -> copy.put(kind, of.clone()));
        return copy;
    }

    /** Runs handed to the kernel, from the start of the process. */
    public long runs() {
        return runs;
    }

    /** The counts so far, for what becomes of tries from now on. */
    RequestCounters copy() {
        RequestCounters copy = new RequestCounters();
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
        byClass.forEach((kind, of) -> copy.byClass.put(kind, of.clone()));
        return copy;
    }

    /** What came since another count, as names and values in turns. */
    public Object[] since(RequestCounters old) {
        return new Object[] {
            "read",
            read - old.read,
            "served",
            served - old.served,
            "refused",
            refused - old.refused,
            "failed",
            failed - old.failed,
            "overdue",
            overdue - old.overdue,
            "gone",
            gone - old.gone,
            "runs",
            runs - old.runs,
            "joins",
            joins - old.joins,
            "calls",
            calls - old.calls,
            "skips",
            skips - old.skips,
            "resumed",
            resumed - old.resumed
        };
    }

    /** All of them, as names and values in turns. */
    public Object[] fields() {
        return since(new RequestCounters());
    }

    @Override
    public String toString() {
        return "read " + read + ", served " + served + ", refused " + refused + ", failed " + failed
                + " (overdue " + overdue + "), gone " + gone + ", runs " + runs + ", joins " + joins + ", calls "
                + calls + ", skips " + skips;
    }
}

package wheatspread.control;

import java.util.List;
import java.util.Map;
import wheatspread.core.RequestCounters;

/**
 * The metrics of {@code GET /_vars}: one {@code name=value} a line. Operators' tools read the names, so they never
 * change.
 */
public final class MetricsPage {
    private static final String PREFIX = "edge_gw.";
    /** The order of the final answers in {@link RequestCounters#answersByClass}. */
    private static final int SUCCESS = 0;

    private static final int OVERLOAD = 1;
    private static final int ERROR = 2;
    private static final long[] NO_REPLIES = new long[3];

    private MetricsPage() {}

    /**
     * The metrics since the start of the process. Every request class of the deployment is listed, with 0 where no
     * request came.
     *
     * @param counters final answers by class, and the runs that were dispatched to the kernel
     * @param classes the names of the request classes, in the order of their numbers
     * @param openRequests requests that are not answered yet
     * @param appliedReloads configurations applied at SIGHUP
     * @param rejectedReloads configurations rejected at SIGHUP
     */
    public static String text(
            RequestCounters counters,
            List<String> classes,
            int openRequests,
            long appliedReloads,
            long rejectedReloads) {
        StringBuilder text = new StringBuilder(256);
        Map<Integer, long[]> repliesByClass = counters.answersByClass();
        for (int number = 0; number < classes.size(); number++) {
            long[] replies = repliesByClass.getOrDefault(number, NO_REPLIES);
            String name = PREFIX + "replies." + classes.get(number) + ".";
            appendLine(text, name + "success", replies[SUCCESS]);
            appendLine(text, name + "overload", replies[OVERLOAD]);
            appendLine(text, name + "error", replies[ERROR]);
        }
        appendLine(text, PREFIX + "dispatches", counters.runs());
        appendLine(text, PREFIX + "concurrent", openRequests);
        appendLine(text, PREFIX + "reload_success", appliedReloads);
        appendLine(text, PREFIX + "reload_failure", rejectedReloads);
        return text.toString();
    }

    private static void appendLine(StringBuilder text, String name, long value) {
        text.append(name).append('=').append(value).append('\n');
    }
}

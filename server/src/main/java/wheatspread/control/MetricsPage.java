package wheatspread.control;

import java.util.List;
import java.util.Map;
import wheatspread.core.RequestCounters;

/**
 * Formats the metrics of {@code GET /_vars}, with one {@code name=value} per line. Operators' tools depend on the
 * names, which must not change.
 */
public final class MetricsPage {
    private static final String PREFIX = "edge_gw.";
    /** Index of the successful answers in the values of {@link RequestCounters#answersByClass}. */
    private static final int SUCCESS = 0;

    private static final int OVERLOAD = 1;
    private static final int ERROR = 2;
    private static final long[] NO_REPLIES = new long[3];

    private MetricsPage() {}

    /**
     * Returns the metrics since the start of the process. Every request class of the deployment is listed, with the
     * value 0 if it received no request.
     *
     * @param counters the final answers by class, and the number of runs dispatched to the kernel
     * @param classes the names of the request classes, in the order of their indexes
     * @param openRequests the number of requests that are not answered yet
     * @param appliedReloads the number of configurations applied on SIGHUP
     * @param rejectedReloads the number of configurations rejected on SIGHUP
     */
    public static String text(
            RequestCounters counters,
            List<String> classes,
            int openRequests,
            long appliedReloads,
            long rejectedReloads) {
        StringBuilder text = new StringBuilder(256);
        Map<Integer, long[]> repliesByClass = counters.answersByClass();
        for (int index = 0; index < classes.size(); index++) {
            long[] replies = repliesByClass.getOrDefault(index, NO_REPLIES);
            String name = PREFIX + "replies." + classes.get(index) + ".";
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

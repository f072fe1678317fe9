package wheatspread.control;

import java.util.List;
import java.util.Map;
import wheatspread.core.RequestCounters;

/** The figures of {@code GET /_vars}, one {@code name=value} a line, by the names the operators read. */
public final class MetricsPage {
    private static final String PREFIX = "edge_gw.";

    private MetricsPage() {}

    /**
     * The figures from the start of the process: each class's final answers, the runs handed to the
     * kernel, the tries taken and not ended, and the files taken and turned down at SIGHUP. Every class of
     * the site is named, with 0 where nothing came.
     */
    public static String text(
            RequestCounters counts, List<String> classes, int concurrent, long reloadSuccess, long reloadFailure) {
        StringBuilder text = new StringBuilder(256);
        Map<Integer, long[]> byClass = counts.byClass();
        for (int kind = 0; kind < classes.size(); kind++) {
            long[] of = byClass.getOrDefault(kind, new long[3]);
            String name = PREFIX + "replies." + classes.get(kind) + ".";
            line(text, name + "success", of[0]);
            line(text, name + "overload", of[1]);
            line(text, name + "error", of[2]);
        }
        line(text, PREFIX + "dispatches", counts.runs());
        line(text, PREFIX + "concurrent", concurrent);
        line(text, PREFIX + "reload_success", reloadSuccess);
        line(text, PREFIX + "reload_failure", reloadFailure);
        return text.toString();
    }

    private static void line(StringBuilder text, String name, long value) {
        text.append(name).append('=').append(value).append('\n');
    }
}

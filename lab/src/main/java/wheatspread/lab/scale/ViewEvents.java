package wheatspread.lab.scale;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses the log event {@code view}, which a server writes for each view that it installs. */
final class ViewEvents {
    /** Name of the event. */
    static final String NAME = "view";

    private static final Pattern VIEW =
            Pattern.compile("\\bview id=(\\d+\\.\\d+) members=(\\d+) list=(\\w+) in=(\\w+)");
    private static final Pattern DEPARTURE =
            Pattern.compile("([^\\s\\[\\]\",]+#\\d+) (MISSED|TOLD|LEFT|RESTARTED) \\[");

    private ViewEvents() {}

    /** The view of one event, whether it contains the server itself, and the members that it dropped. */
    record ViewEvent(ViewKey view, boolean inView, Set<String> removed) {}

    /** Parses a line of a server's log; returns null if the line is another event. */
    static ViewEvent parse(String line) {
        Matcher view = VIEW.matcher(line);
        if (!view.find()) {
            return null;
        }
        return new ViewEvent(
                new ViewKey(view.group(1), Integer.parseInt(view.group(2)), view.group(3)),
                Boolean.parseBoolean(view.group(4)),
                removed(line.substring(view.end())));
    }

    /**
     * Returns the members in a list of departures that neither left by themselves nor were replaced by their next
     * start.
     */
    static Set<String> removed(String departures) {
        Set<String> removed = new LinkedHashSet<>();
        Matcher departure = DEPARTURE.matcher(departures);
        while (departure.find()) {
            if (departure.group(2).equals("MISSED") || departure.group(2).equals("TOLD")) {
                removed.add(departure.group(1));
            }
        }
        return removed;
    }
}

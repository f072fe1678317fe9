package wheatspread.lab.scale;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the log event {@code view}, in which a server tells of each view that it installs. */
final class ViewEvents {
    /** The event's name. */
    static final String NAME = "view";

    private static final Pattern VIEW =
            Pattern.compile("\\bview id=(\\d+\\.\\d+) members=(\\d+) list=(\\w+) in=(\\w+)");
    private static final Pattern GONE = Pattern.compile("([^\\s\\[\\]\",]+#\\d+) (MISSED|TOLD|LEFT|RESTARTED) \\[");

    private ViewEvents() {}

    /** One event. */
    record Seen(ViewKey view, boolean in, Set<String> removed) {}

    /** The event in a line of a server's log; null where the line is another event. */
    static Seen parse(String line) {
        Matcher view = VIEW.matcher(line);
        if (!view.find()) {
            return null;
        }
        return new Seen(
                new ViewKey(view.group(1), Integer.parseInt(view.group(2)), view.group(3)),
                Boolean.parseBoolean(view.group(4)),
                removed(line.substring(view.end())));
    }

    /** Members in a text of departures that went neither by themselves nor for their own next start. */
    static Set<String> removed(String departures) {
        Set<String> removed = new LinkedHashSet<>();
        Matcher gone = GONE.matcher(departures);
        while (gone.find()) {
            if (gone.group(2).equals("MISSED") || gone.group(2).equals("TOLD")) {
                removed.add(gone.group(1));
            }
        }
        return removed;
    }
}

package wheatspread.lab.faults;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the servers' own logs say of the views that they went by, and what of it must never be. */
final class Verdict {
    private static final Pattern VIEW = Pattern.compile("\\bview id=(\\d+)\\.(\\d+) members=(\\d+) list=(\\w+) ");
    private static final Pattern MISSED = Pattern.compile("(\\w+)#\\d+ MISSED");

    private final List<String> faults = new ArrayList<>();
    private final Map<String, String> lists = new LinkedHashMap<>();
    private final Map<String, String> toldBy = new HashMap<>();
    private final Set<String> missed = new TreeSet<>();

    /** Reads the whole log of one process. */
    void read(String process, List<String> log) {
        long epoch = 0;
        long number = 0;
        for (String line : log) {
            Matcher view = VIEW.matcher(line);
            if (!view.find()) {
                continue;
            }
            String id = view.group(1) + "." + view.group(2);
            String list = view.group(3) + " " + view.group(4);
            String other = lists.putIfAbsent(id, list);
            toldBy.putIfAbsent(id, process);
            if (other != null && !other.equals(list)) {
                faults.add("two views " + id + ": " + other + " on " + toldBy.get(id) + ", " + list + " on " + process
                        + ": " + line);
            }
            long nextEpoch = Long.parseLong(view.group(1));
            long next = Long.parseLong(view.group(2));
            if (nextEpoch == epoch && next <= number) {
                faults.add(process + " went back to view " + id + ": " + line);
            }
            epoch = nextEpoch;
            number = next;
            Matcher gone = MISSED.matcher(line);
            while (gone.find()) {
                missed.add(gone.group(1));
            }
        }
    }

    /** How many views there were that are not among those. */
    int viewsBesides(Set<String> before) {
        return (int) lists.keySet().stream().filter(id -> !before.contains(id)).count();
    }

    Set<String> views() {
        return lists.keySet();
    }

    /** Whom the watchers missed, at any time. */
    Set<String> missed() {
        return missed;
    }

    List<String> faults() {
        return faults;
    }
}

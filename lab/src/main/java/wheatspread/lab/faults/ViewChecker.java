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

/**
 * Collects the views that the servers logged and reports violations: two different views with one id, and a
 * server that returned to an earlier view of an epoch.
 */
final class ViewChecker {
    private static final Pattern VIEW = Pattern.compile("\\bview id=(\\d+)\\.(\\d+) members=(\\d+) list=(\\w+) ");
    private static final Pattern MISSED = Pattern.compile("(\\w+)#\\d+ MISSED");

    private final List<String> violations = new ArrayList<>();
    private final Map<String, String> memberListByView = new LinkedHashMap<>();
    private final Map<String, String> firstProcessByView = new HashMap<>();
    private final Set<String> missed = new TreeSet<>();

    /** Reads the complete log of one process. */
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
            String other = memberListByView.putIfAbsent(id, list);
            firstProcessByView.putIfAbsent(id, process);
            if (other != null && !other.equals(list)) {
                violations.add("two views " + id + ": " + other + " on " + firstProcessByView.get(id) + ", " + list
                        + " on " + process + ": " + line);
            }
            long nextEpoch = Long.parseLong(view.group(1));
            long nextNumber = Long.parseLong(view.group(2));
            if (nextEpoch == epoch && nextNumber <= number) {
                violations.add(process + " went back to view " + id + ": " + line);
            }
            epoch = nextEpoch;
            number = nextNumber;
            Matcher missedMember = MISSED.matcher(line);
            while (missedMember.find()) {
                missed.add(missedMember.group(1));
            }
        }
    }

    /** Returns the number of logged views that are not in {@code before}. */
    int viewsBesides(Set<String> before) {
        return (int) memberListByView.keySet().stream()
                .filter(id -> !before.contains(id))
                .count();
    }

    Set<String> views() {
        return memberListByView.keySet();
    }

    /** Returns the members that observers reported as missed at any time. */
    Set<String> missed() {
        return missed;
    }

    List<String> violations() {
        return violations;
    }
}

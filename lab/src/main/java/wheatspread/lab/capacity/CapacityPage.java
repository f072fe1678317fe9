package wheatspread.lab.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The lines of the page, with generated blocks between marker comments. */
public final class CapacityPage {
    private static final String BEGIN = "<!-- capacity:begin %s -->";
    private static final String END = "<!-- capacity:end %s -->";

    private final List<String> lines;

    public CapacityPage(List<String> lines) {
        this.lines = List.copyOf(lines);
    }

    /**
     * The page with these blocks in place of those that it has.
     *
     * @throws IllegalArgumentException where a block has not just one pair of markers, in order
     */
    public List<String> with(Map<String, List<String>> blocks) {
        List<String> page = new ArrayList<>(lines);
        blocks.forEach((name, block) -> {
            int begin = marker(page, BEGIN, name);
            int end = marker(page, END, name);
            if (begin > end) {
                throw new IllegalArgumentException("block " + name + " ends before it begins");
            }
            List<String> old = page.subList(begin + 1, end);
            old.clear();
            old.add("");
            old.addAll(block);
            old.add("");
        });
        return page;
    }

    /** One line for each place where the page differs from what these blocks say; empty where it does not. */
    public List<String> differences(Map<String, List<String>> blocks) {
        List<String> wanted = with(blocks);
        List<String> differences = new ArrayList<>();
        for (int i = 0; i < Math.max(wanted.size(), lines.size()); i++) {
            String page = i < lines.size() ? lines.get(i) : "(nothing)";
            String reports = i < wanted.size() ? wanted.get(i) : "(nothing)";
            if (!page.equals(reports)) {
                differences.add("line " + (i + 1) + ": the page has: " + page + "; the reports give: " + reports);
            }
        }
        return differences;
    }

    private static int marker(List<String> page, String form, String name) {
        String marker = String.format(form, name);
        int at = page.indexOf(marker);
        if (at < 0 || at != page.lastIndexOf(marker)) {
            throw new IllegalArgumentException("the page has not just one line " + marker);
        }
        return at;
    }
}

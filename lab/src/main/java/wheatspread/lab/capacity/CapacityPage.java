package wheatspread.lab.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The lines of the page, which contains generated blocks between marker comments. */
public final class CapacityPage {
    private static final String BEGIN = "<!-- capacity:begin %s -->";
    private static final String END = "<!-- capacity:end %s -->";

    private final List<String> lines;

    public CapacityPage(List<String> lines) {
        this.lines = List.copyOf(lines);
    }

    /**
     * Returns the page with its blocks replaced by {@code blocks}.
     *
     * @throws IllegalArgumentException if the page does not have exactly one begin marker and, after it, one end
     *     marker for a block
     */
    public List<String> with(Map<String, List<String>> blocks) {
        List<String> page = new ArrayList<>(lines);
        blocks.forEach((name, block) -> {
            int begin = marker(page, BEGIN, name);
            int end = marker(page, END, name);
            if (begin > end) {
                throw new IllegalArgumentException("end marker of block " + name + " is before its begin marker");
            }
            List<String> oldBlock = page.subList(begin + 1, end);
            oldBlock.clear();
            oldBlock.add("");
            oldBlock.addAll(block);
            oldBlock.add("");
        });
        return page;
    }

    /**
     * Returns a message for each line in which the page differs from {@code blocks}; empty if there is no difference.
     */
    public List<String> differences(Map<String, List<String>> blocks) {
        List<String> expected = with(blocks);
        List<String> differences = new ArrayList<>();
        for (int i = 0; i < Math.max(expected.size(), lines.size()); i++) {
            String found = i < lines.size() ? lines.get(i) : "(nothing)";
            String generated = i < expected.size() ? expected.get(i) : "(nothing)";
            if (!found.equals(generated)) {
                differences.add("line " + (i + 1) + ": the page has: " + found + "; the reports give: " + generated);
            }
        }
        return differences;
    }

    private static int marker(List<String> page, String form, String name) {
        String marker = String.format(form, name);
        int index = page.indexOf(marker);
        if (index < 0 || index != page.lastIndexOf(marker)) {
            throw new IllegalArgumentException("expected exactly one line " + marker + " in the page");
        }
        return index;
    }
}

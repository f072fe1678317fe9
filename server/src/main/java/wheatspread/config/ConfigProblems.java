package wheatspread.config;

import java.util.ArrayList;
import java.util.List;

/**
 * Faults in the settings, in the order in which they were found. The first {@link #MAX_KEPT} faults are kept and
 * further faults are only counted, which bounds the memory for a file with a fault in every line.
 */
public final class ConfigProblems {
    /** The maximum number of faults that are kept. */
    public static final int MAX_KEPT = 100;

    private final List<ConfigProblem> kept = new ArrayList<>();
    private long dropped;

    /** Adds a fault that does not concern a single key. */
    public void add(String message) {
        add(ConfigProblem.general(message));
    }

    /** Adds a fault, unless a kept fault has the same message. */
    void add(ConfigProblem problem) {
        if (kept.size() >= MAX_KEPT) {
            dropped++;
        } else if (kept.stream().noneMatch(other -> other.message().equals(problem.message()))) {
            kept.add(problem);
        }
    }

    /** Adds the faults of another file. */
    public void addAll(JsonFields.InvalidValueException invalid) {
        invalid.problems().forEach(this::add);
        dropped += invalid.count() - invalid.problems().size();
    }

    public boolean isEmpty() {
        return kept.isEmpty();
    }

    /** Returns the kept faults. */
    List<ConfigProblem> problems() {
        return List.copyOf(kept);
    }

    /** Returns the messages of the kept faults. */
    public List<String> messages() {
        return kept.stream().map(ConfigProblem::message).toList();
    }

    /** Returns the message of the first fault and the number of further faults; there must be at least one fault. */
    String summary() {
        String first = kept.get(0).message();
        if (count() == 1) {
            return first;
        }
        String listed = dropped == 0 ? "all of them" : "the first " + kept.size();
        return first + " (and " + (count() - 1) + " more; 'check' lists " + listed + ")";
    }

    /** Returns the number of faults, including those that are not kept. */
    public long count() {
        return kept.size() + dropped;
    }
}

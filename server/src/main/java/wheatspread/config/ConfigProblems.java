package wheatspread.config;

import java.util.ArrayList;
import java.util.List;

/**
 * Faults in the settings, in the order in which they were found. The first ones are kept and the others only
 * counted, so that a file with a fault in each of its lines takes no memory for them.
 */
public final class ConfigProblems {
    /** How many faults are kept. */
    public static final int MAX_KEPT = 100;

    private final List<ConfigProblem> messages = new ArrayList<>();
    private long dropped;

    /** Adds a fault that is not about one key. */
    public void add(String message) {
        add(ConfigProblem.general(message));
    }

    /** Adds a fault; one with the message of a kept one is not counted again. */
    void add(ConfigProblem problem) {
        if (messages.size() >= MAX_KEPT) {
            dropped++;
        } else if (messages.stream().noneMatch(other -> other.message().equals(problem.message()))) {
            messages.add(problem);
        }
    }

    /** Adds the faults that another file has. */
    public void addAll(JsonFields.InvalidValueException invalid) {
        invalid.problems().forEach(this::add);
        dropped += invalid.count() - invalid.problems().size();
    }

    public boolean isEmpty() {
        return messages.isEmpty();
    }

    /** The kept faults. */
    List<ConfigProblem> problems() {
        return List.copyOf(messages);
    }

    /** The messages of the kept faults. */
    public List<String> messages() {
        return messages.stream().map(ConfigProblem::message).toList();
    }

    /** The message of the first fault, and how many others there are; only if there is one. */
    String summary() {
        String first = messages.get(0).message();
        if (count() == 1) {
            return first;
        }
        String named = dropped == 0 ? "them all" : "the first " + messages.size();
        return first + " (and " + (count() - 1) + " more; 'check' names " + named + ")";
    }

    /** How many faults there are, including those that are not kept. */
    public long count() {
        return messages.size() + dropped;
    }
}

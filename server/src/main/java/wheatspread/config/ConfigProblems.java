package wheatspread.config;

import java.util.ArrayList;
import java.util.List;

/**
 * Complaints about settings, in the order in which they were found. The first ones are kept and the others
 * counted, so that a file with a fault in each of its lines takes no memory for them.
 */
public final class ConfigProblems {
    /** How many complaints are kept. */
    public static final int MOST_KEPT = 100;

    private final List<String> kept = new ArrayList<>();
    private long dropped;

    /** Adds a complaint; one that is kept already is not counted again. */
    public void add(String fault) {
        if (kept.size() >= MOST_KEPT) {
            dropped++;
        } else if (!kept.contains(fault)) {
            kept.add(fault);
        }
    }

    /** Adds what another reading complained of. */
    public void addAll(JsonFields.InvalidValueException complaint) {
        complaint.faults().forEach(this::add);
        dropped += complaint.count() - complaint.faults().size();
    }

    public boolean isEmpty() {
        return kept.isEmpty();
    }

    /** Those that are kept. */
    public List<String> kept() {
        return List.copyOf(kept);
    }

    /** How many there are, with those that are not kept. */
    public long count() {
        return kept.size() + dropped;
    }
}

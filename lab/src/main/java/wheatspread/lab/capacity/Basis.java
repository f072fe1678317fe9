package wheatspread.lab.capacity;

import java.util.Locale;

/**
 * The origin of a figure, from the most reliable to none. A computed figure has the least reliable basis of its parts.
 * The order of the constants defines {@link #weaker}.
 */
public enum Basis {
    /** A quantity of the installation, given by the plan. */
    GIVEN,
    /** Measured on real processes. */
    MEASURED,
    /** Computed by the emulator, which runs the server's decision code on virtual time. */
    VIRTUAL,
    /** Not measured; the plan states the reason for the value. */
    ASSUMED,
    /** No report file contains points for the figure. */
    NOT_MEASURED;

    /** Returns the less reliable of the two. */
    Basis weaker(Basis other) {
        return compareTo(other) >= 0 ? this : other;
    }

    /** The text for this basis in the tables of the page. */
    String label() {
        return this == VIRTUAL
                ? "virtual time"
                : name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}

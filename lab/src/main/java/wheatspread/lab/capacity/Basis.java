package wheatspread.lab.capacity;

import java.util.Locale;

/** What a figure of the page rests on, from the firmest to none. A computed figure is as firm as its weakest part. */
public enum Basis {
    /** Given by the plan: a quantity of the installation. */
    GIVEN,
    /** Measured on real processes. */
    MEASURED,
    /** Played by the emulator on virtual time, with the program's decision code. */
    VIRTUAL,
    /** Not measured; the plan says why this value was taken. */
    ASSUMED,
    /** No report file has its points. */
    NOT_MEASURED;

    /** The weaker of two. */
    Basis weaker(Basis other) {
        return compareTo(other) >= 0 ? this : other;
    }

    /** As the page has it. */
    String words() {
        return this == VIRTUAL
                ? "virtual time"
                : name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}

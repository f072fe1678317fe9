package wheatspread.lab.capacity;

/**
 * A quantity of the planned installation.
 *
 * @param name name of the quantity in the plan's expressions
 * @param fixed whether the value is the same for an installation of a tenth of the size
 * @param assumed whether the value is an assumption; {@code text} then states the reason for it
 */
public record Quantity(String name, double value, String unit, String text, boolean fixed, boolean assumed) {
    private static final double TENTH = 0.1;

    /** The figure that formulas use. */
    Figure figure() {
        return new Figure(valueAt(Scale.FULL), valueAt(Scale.TENTH), basis(), 0);
    }

    Basis basis() {
        return assumed ? Basis.ASSUMED : Basis.GIVEN;
    }

    /** Returns the value at one of the two sizes. */
    double valueAt(Scale scale) {
        return scale == Scale.FULL || fixed ? value : value * TENTH;
    }
}

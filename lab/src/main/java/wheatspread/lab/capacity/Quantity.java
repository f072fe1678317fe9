package wheatspread.lab.capacity;

/**
 * One quantity of the installation that is planned for.
 *
 * @param name how expressions of the plan call it
 * @param fixed whether it is the same in an installation of a tenth of the size
 * @param assumed whether nobody gave it; {@code text} then says why this value was taken
 */
public record Quantity(String name, double value, String unit, String text, boolean fixed, boolean assumed) {
    private static final double TENTH = 0.1;

    /** The figure that formulas see. */
    Figure figure() {
        return new Figure(at(Scale.FULL), at(Scale.TENTH), basis(), 0);
    }

    Basis basis() {
        return assumed ? Basis.ASSUMED : Basis.GIVEN;
    }

    /** Its value at one of the two sizes. */
    double at(Scale scale) {
        return scale == Scale.FULL || fixed ? value : value * TENTH;
    }
}

package wheatspread.lab.capacity;

/**
 * A figure of the page at both sizes.
 *
 * @param full at the size that is planned for; NaN where it was not measured
 * @param tenth at a tenth of it
 * @param stretch how far the largest measured size of any line in it is exceeded; 0 where no line is in it
 */
public record Figure(double full, double tenth, Basis basis, double stretch) {
    static final Figure NOT_MEASURED = new Figure(Double.NaN, Double.NaN, Basis.NOT_MEASURED, 0);

    double at(Scale scale) {
        return scale == Scale.FULL ? full : tenth;
    }
}

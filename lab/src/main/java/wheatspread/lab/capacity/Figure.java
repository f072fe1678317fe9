package wheatspread.lab.capacity;

/**
 * A figure of the page at both sizes of the installation.
 *
 * @param full value at the planned size; NaN if it was not measured
 * @param tenth value at a tenth of the planned size; NaN if it was not measured
 * @param stretch planned size divided by the largest measured size, the largest such ratio of the lines in the figure;
 *     0 if it contains no line
 */
public record Figure(double full, double tenth, Basis basis, double stretch) {
    static final Figure NOT_MEASURED = new Figure(Double.NaN, Double.NaN, Basis.NOT_MEASURED, 0);

    double valueAt(Scale scale) {
        return scale == Scale.FULL ? full : tenth;
    }
}

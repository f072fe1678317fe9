package wheatspread.lab.capacity;

import java.util.List;

/**
 * The source of a line's points, the fit, and the quantity at which the line is evaluated.
 *
 * @param name name of the line's value in the plan's expressions
 * @param report file name of the report
 * @param series name of a series of the report; null if the points are single figures
 * @param figures single figures of a report that has no series for them; empty if the points are a series
 * @param unit unit of the single figures; a series states its unit itself
 * @param evaluatedAt name of the quantity at which the line is evaluated
 * @param virtual whether the points come from the emulator
 */
public record LinePlan(
        String name,
        String report,
        String series,
        List<PlannedPoint> figures,
        String unit,
        Fit fit,
        String evaluatedAt,
        boolean virtual) {
    /** A single figure of the report, found by its path of keys, and the size at which it was measured. */
    public record PlannedPoint(double size, List<String> keys) {
        public PlannedPoint {
            keys = List.copyOf(keys);
        }
    }

    public LinePlan {
        figures = List.copyOf(figures);
    }

    /** The basis of the points. */
    Basis basis() {
        return virtual ? Basis.VIRTUAL : Basis.MEASURED;
    }

    /** The name of the points on the page. */
    String pointsName() {
        return series != null ? series : String.join(" / ", figures.get(0).keys());
    }
}

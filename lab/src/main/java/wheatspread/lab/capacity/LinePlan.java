package wheatspread.lab.capacity;

import java.util.List;

/**
 * Where the points of a line stand, how it is laid through them, and the quantity at which it is evaluated.
 *
 * @param name how expressions of the plan call the line's value
 * @param report the report's file
 * @param series the name of a series of the report; null where single figures are taken
 * @param figures single figures of a report that has no series for them; empty where a series is taken
 * @param unit of single figures; a series has its own
 * @param at the quantity at which the line is evaluated
 * @param virtual whether the points come from the emulator
 */
public record LinePlan(
        String name, String report, String series, List<At> figures, String unit, Fit fit, String at, boolean virtual) {
    /** The figure that stands under these keys of the report, measured at that size. */
    public record At(double size, List<String> keys) {
        public At {
            keys = List.copyOf(keys);
        }
    }

    public LinePlan {
        figures = List.copyOf(figures);
    }

    /** What its points rest on. */
    Basis basis() {
        return virtual ? Basis.VIRTUAL : Basis.MEASURED;
    }

    /** What the page calls the points. */
    String points() {
        return series != null ? series : String.join(" / ", figures.get(0).keys());
    }
}

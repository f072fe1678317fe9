package wheatspread.lab.capacity;

import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.stream.Collectors;
import wheatspread.lab.report.Series;

/**
 * A line fitted to measured points.
 *
 * @param points all measured points by ascending size, including points that do not affect the fit
 */
public record FittedLine(Fit fit, double intercept, double slope, List<Series.Point> points) {
    public FittedLine {
        points = List.copyOf(points);
    }

    /** Returns the value at a size. Outside the range of the points it may have another sign than the points. */
    public double valueAt(double size) {
        return fit == Fit.LAST && size < largest() ? interpolate(size) : intercept + slope * fit.transform(size);
    }

    /**
     * Interpolates between the two neighbouring points; below the smallest size, extrapolates the line through the two
     * smallest.
     */
    private double interpolate(double size) {
        NavigableMap<Double, Double> means = meansBySize(points);
        double upper = means.higherKey(Math.max(size, smallest()));
        double lower = means.lowerKey(upper);
        double slope = (means.get(upper) - means.get(lower)) / (upper - lower);
        return means.get(lower) + slope * (size - lower);
    }

    /** Returns the mean value of the points of each size. */
    static NavigableMap<Double, Double> meansBySize(List<Series.Point> points) {
        return points.stream()
                .collect(Collectors.groupingBy(
                        Series.Point::size, TreeMap::new, Collectors.averagingDouble(Series.Point::value)));
    }

    /** The smallest measured size. */
    public double smallest() {
        return points.get(0).size();
    }

    /** The largest measured size. */
    public double largest() {
        return points.get(points.size() - 1).size();
    }

    /** Returns the size divided by the largest measured size; above 1 the line is extrapolated. */
    public double stretch(double size) {
        return size / largest();
    }

    /** The largest residual, as a share of the largest measured absolute value; 0 for an exact fit. */
    public double largestResidual() {
        double maxResidual = 0;
        double maxValue = 0;
        for (Series.Point point : points) {
            maxResidual = Math.max(maxResidual, Math.abs(valueAt(point.size()) - point.value()));
            maxValue = Math.max(maxValue, Math.abs(point.value()));
        }
        return maxResidual == 0 ? 0 : maxResidual / maxValue;
    }
}

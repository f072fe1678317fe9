package wheatspread.lab.capacity;

import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.stream.Collectors;
import wheatspread.lab.report.Series;

/**
 * A line through measured points.
 *
 * @param points all of them by ascending size, also those that the fit passes over
 */
public record FittedLine(Fit fit, double intercept, double slope, List<Series.Point> points) {
    public FittedLine {
        points = List.copyOf(points);
    }

    /** The line's value at a size; a line through measured points may leave their sign outside their range. */
    public double at(double size) {
        return fit == Fit.LAST && size < largest() ? between(size) : intercept + slope * fit.transform(size);
    }

    /** On the straight line from point to point; below the smallest size on the line through the two smallest. */
    private double between(double size) {
        NavigableMap<Double, Double> means = meansBySize(points);
        double upper = means.higherKey(Math.max(size, smallest()));
        double lower = means.lowerKey(upper);
        double slope = (means.get(upper) - means.get(lower)) / (upper - lower);
        return means.get(lower) + slope * (size - lower);
    }

    /** The mean of the points of each size. */
    static NavigableMap<Double, Double> meansBySize(List<Series.Point> points) {
        return points.stream()
                .collect(Collectors.groupingBy(
                        Series.Point::size, TreeMap::new, Collectors.averagingDouble(Series.Point::value)));
    }

    /** The smallest size measured. */
    public double smallest() {
        return points.get(0).size();
    }

    /** The largest size measured. */
    public double largest() {
        return points.get(points.size() - 1).size();
    }

    /** The size over the largest measured; up to 1 nothing is stretched. */
    public double stretch(double size) {
        return size / largest();
    }

    /** The largest distance of a point from the line, as a share of the largest measured value; 0 for an exact fit. */
    public double largestMiss() {
        double miss = 0;
        double most = 0;
        for (Series.Point point : points) {
            miss = Math.max(miss, Math.abs(at(point.size()) - point.value()));
            most = Math.max(most, Math.abs(point.value()));
        }
        return miss == 0 ? 0 : miss / most;
    }
}

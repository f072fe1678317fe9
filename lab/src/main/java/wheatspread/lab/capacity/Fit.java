package wheatspread.lab.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import wheatspread.lab.report.Series;

/** The method by which a line is fitted to measured points. */
public enum Fit {
    /** Least squares: {@code intercept + slope * size}. */
    LINEAR,
    /** Least squares over the natural logarithm of the size: {@code intercept + slope * ln(size)}. */
    LOG,
    /** Least squares through the origin: {@code slope * size}. */
    PROPORTIONAL,
    /**
     * Linear interpolation between neighbouring points; beyond the largest size, extrapolation with the slope between
     * the two largest sizes. Suits a figure that is not linear over the whole range. Points of equal size are averaged.
     */
    LAST,
    /** The mean of the points; suits a figure that does not depend on the size. */
    CONSTANT;

    /** All methods by their names in the plan. */
    static Map<String, Fit> byPlanName() {
        Map<String, Fit> fits = new TreeMap<>();
        for (Fit fit : values()) {
            fits.put(fit.planName(), fit);
        }
        return fits;
    }

    /** The name of this method in the plan and on the page. */
    String planName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Smallest number of different sizes that this method needs. */
    int minSizes() {
        return this == PROPORTIONAL || this == CONSTANT ? 1 : 2;
    }

    /** Returns the independent variable of the line for a size. */
    double transform(double size) {
        return this == LOG ? Math.log(size) : size;
    }

    /**
     * Fits a line to points.
     *
     * @throws IllegalArgumentException if there are fewer than {@link #minSizes} different sizes, or for {@link
     *     #LOG} if a size is not positive
     */
    public FittedLine through(List<Series.Point> measured) {
        List<Series.Point> points = new ArrayList<>(measured);
        points.sort(Comparator.comparingDouble(Series.Point::size));
        long sizes = points.stream().mapToDouble(Series.Point::size).distinct().count();
        if (sizes < minSizes() || this == LOG && points.get(0).size() <= 0) {
            throw new IllegalArgumentException("fit " + planName() + " cannot be applied to " + points);
        }
        return switch (this) {
            case LINEAR, LOG -> fitLeastSquares(points);
            case LAST -> lastSegment(points);
            case PROPORTIONAL -> {
                double products = points.stream()
                        .mapToDouble(point -> point.size() * point.value())
                        .sum();
                double squares = points.stream()
                        .mapToDouble(point -> point.size() * point.size())
                        .sum();
                yield new FittedLine(this, 0, products / squares, points);
            }
            case CONSTANT -> new FittedLine(this, mean(points, false), 0, points);
        };
    }

    private static FittedLine lastSegment(List<Series.Point> points) {
        NavigableMap<Double, Double> means = FittedLine.meansBySize(points);
        double largest = means.lastKey();
        double previous = means.lowerKey(largest);
        double slope = (means.get(largest) - means.get(previous)) / (largest - previous);
        return new FittedLine(LAST, means.get(largest) - slope * largest, slope, points);
    }

    private FittedLine fitLeastSquares(List<Series.Point> points) {
        double meanSize = mean(points, true);
        double meanValue = mean(points, false);
        double products = 0;
        double squares = 0;
        for (Series.Point point : points) {
            double distance = transform(point.size()) - meanSize;
            products += distance * (point.value() - meanValue);
            squares += distance * distance;
        }
        double slope = products / squares;
        return new FittedLine(this, meanValue - slope * meanSize, slope, points);
    }

    private double mean(List<Series.Point> points, boolean ofSizes) {
        return points.stream()
                .mapToDouble(point -> ofSizes ? transform(point.size()) : point.value())
                .average()
                .orElseThrow();
    }
}

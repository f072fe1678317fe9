package wheatspread.lab.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import wheatspread.lab.report.Series;

/** How a line is laid through measured points. */
public enum Fit {
    /** Least squares: {@code intercept + slope * size}. */
    LINEAR,
    /** Least squares over the natural logarithm of the size: {@code intercept + slope * ln(size)}. */
    LOG,
    /** Least squares through the origin: {@code slope * size}. */
    PROPORTIONAL,
    /**
     * From point to point, and past the largest size on with the slope between the two largest: for a figure that is
     * no line over the whole range. Points of one size count as their mean.
     */
    LAST,
    /** The mean of the points: a figure that does not depend on the size. */
    CONSTANT;

    /** The words of the plan. */
    static Map<String, Fit> words() {
        Map<String, Fit> words = new TreeMap<>();
        for (Fit one : values()) {
            words.put(one.word(), one);
        }
        return words;
    }

    /** As the plan and the page have it. */
    String word() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** How many different sizes it takes. */
    int leastSizes() {
        return this == PROPORTIONAL || this == CONSTANT ? 1 : 2;
    }

    /** How the size enters the line. */
    double transform(double size) {
        return this == LOG ? Math.log(size) : size;
    }

    /**
     * Lays the line through points.
     *
     * @throws IllegalArgumentException where there are too few different sizes for this fit, or for {@link #LOG} a
     *     size that is not positive
     */
    public FittedLine through(List<Series.Point> measured) {
        List<Series.Point> points = new ArrayList<>(measured);
        points.sort(Comparator.comparingDouble(Series.Point::size));
        long sizes = points.stream().mapToDouble(Series.Point::size).distinct().count();
        if (sizes < leastSizes() || this == LOG && points.get(0).size() <= 0) {
            throw new IllegalArgumentException("fit " + word() + " cannot be laid through " + points);
        }
        return switch (this) {
            case LINEAR, LOG -> leastSquares(points);
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
        double before = means.lowerKey(largest);
        double slope = (means.get(largest) - means.get(before)) / (largest - before);
        return new FittedLine(LAST, means.get(largest) - slope * largest, slope, points);
    }

    private FittedLine leastSquares(List<Series.Point> points) {
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

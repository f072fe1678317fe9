package wheatspread.lab.bench;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import wheatspread.lab.report.Series;

/**
 * The series of a run of JMH, one for each benchmark and each of its numeric params. {@code RoutesBenchmark.find},
 * which has the numeric param {@code routes}, gives {@code routes.find_us} and {@code routes.find_bytes}. Where a
 * benchmark has further params, each of their combinations has a series of its own, with {@code name=value} behind
 * the name, and the plain name holds the greatest figure of all combinations at each size. Where several params are
 * numeric, {@code _by_PARAM} follows the plain name.
 */
public final class MeasuredSeries {
    private MeasuredSeries() {}

    /** All series of these results with at least two points. */
    public static List<Series> of(List<Measured> results) {
        Map<String, List<Measured>> benchmarks = results.stream()
                .collect(Collectors.groupingBy(Measured::benchmark, LinkedHashMap::new, Collectors.toList()));
        List<Series> all = new ArrayList<>();
        benchmarks.values().forEach(same -> addOfBenchmark(same, all));
        all.removeIf(series -> series.points().size() < 2);
        return all;
    }

    private static void addOfBenchmark(List<Measured> same, List<Series> all) {
        Set<String> numeric = numericParams(same);
        Measured first = same.get(0);
        String timeUnit = first.unit().replaceFirst("/op$", "");
        for (String param : numeric) {
            String by = numeric.size() > 1 ? "_by_" + param : "";
            String name = plainName(first.benchmark());
            addOfParam(same, param, new Kind(name + '_' + timeUnit + by, first.unit(), Measured::score), all);
            addOfParam(same, param, new Kind(name + "_bytes" + by, "bytes/op", Measured::bytesPerOperation), all);
        }
    }

    /** A figure of each result, with the name and the unit that its series have. */
    private record Kind(String name, String unit, ToDoubleFunction<Measured> figure) {}

    private static void addOfParam(List<Measured> same, String param, Kind kind, List<Series> all) {
        Map<String, Map<Double, Double>> combinations = new LinkedHashMap<>();
        Map<Double, Double> greatest = new TreeMap<>();
        for (Measured one : same) {
            double figure = kind.figure.applyAsDouble(one);
            if (Double.isFinite(figure)) {
                double size = Double.parseDouble(one.params().get(param));
                combinations
                        .computeIfAbsent(one.paramsWithout(param), key -> new TreeMap<>())
                        .put(size, figure);
                greatest.merge(size, figure, Math::max);
            }
        }
        all.add(series(kind, "", param, greatest));
        if (combinations.size() > 1) {
            combinations.forEach((others, points) -> all.add(series(kind, others, param, points)));
        }
    }

    private static Series series(Kind kind, String others, String param, Map<Double, Double> points) {
        List<Series.Point> list = new ArrayList<>();
        points.forEach((size, figure) -> list.add(new Series.Point(size, figure)));
        return new Series(kind.name + others, kind.unit, param, list);
    }

    private static Set<String> numericParams(List<Measured> same) {
        Set<String> numeric = new TreeSet<>(same.get(0).params().keySet());
        numeric.removeIf(
                param -> !same.stream().allMatch(one -> one.params().get(param).matches("\\d+(\\.\\d+)?")));
        return numeric;
    }

    /** {@code RoutesBenchmark.find} as {@code routes.find}. */
    private static String plainName(String benchmark) {
        String bare = benchmark.replaceFirst("Benchmark\\.", ".");
        return bare.substring(0, 1).toLowerCase(Locale.ROOT) + bare.substring(1);
    }
}

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
 * Builds the series of the results of JMH, one for each benchmark and each of its numeric params.
 * {@code RoutesBenchmark.find}, which has the numeric param {@code routes}, gives {@code routes.find_us} and
 * {@code routes.find_bytes}. If a benchmark has further params, each of their combinations has a separate series, with
 * {@code name=value} after the name, and the series with the plain name holds the maximum over all combinations at each
 * size. If several params are numeric, {@code _by_PARAM} follows the plain name.
 */
public final class BenchmarkSeries {
    private BenchmarkSeries() {}

    /** Returns the series with two or more points. */
    public static List<Series> of(List<BenchmarkResult> results) {
        Map<String, List<BenchmarkResult>> benchmarks = results.stream()
                .collect(Collectors.groupingBy(BenchmarkResult::benchmark, LinkedHashMap::new, Collectors.toList()));
        List<Series> seriesList = new ArrayList<>();
        benchmarks.values().forEach(resultsOfBenchmark -> addSeriesOfBenchmark(resultsOfBenchmark, seriesList));
        seriesList.removeIf(series -> series.points().size() < 2);
        return seriesList;
    }

    private static void addSeriesOfBenchmark(List<BenchmarkResult> results, List<Series> seriesList) {
        Set<String> numeric = numericParams(results);
        BenchmarkResult first = results.get(0);
        String timeUnit = first.unit().replaceFirst("/op$", "");
        for (String param : numeric) {
            String suffix = numeric.size() > 1 ? "_by_" + param : "";
            String name = plainName(first.benchmark());
            addSeriesOfParam(
                    results,
                    param,
                    new Metric(name + '_' + timeUnit + suffix, first.unit(), BenchmarkResult::score),
                    seriesList);
            addSeriesOfParam(
                    results,
                    param,
                    new Metric(name + "_bytes" + suffix, "bytes/op", BenchmarkResult::bytesPerOperation),
                    seriesList);
        }
    }

    /** A figure of a result, with the name and unit of its series. */
    private record Metric(String name, String unit, ToDoubleFunction<BenchmarkResult> figure) {}

    private static void addSeriesOfParam(
            List<BenchmarkResult> results, String param, Metric metric, List<Series> seriesList) {
        Map<String, Map<Double, Double>> combinations = new LinkedHashMap<>();
        Map<Double, Double> maxima = new TreeMap<>();
        for (BenchmarkResult result : results) {
            double figure = metric.figure.applyAsDouble(result);
            if (Double.isFinite(figure)) {
                double size = Double.parseDouble(result.params().get(param));
                combinations
                        .computeIfAbsent(result.paramsWithout(param), key -> new TreeMap<>())
                        .put(size, figure);
                maxima.merge(size, figure, Math::max);
            }
        }
        seriesList.add(series(metric, "", param, maxima));
        if (combinations.size() > 1) {
            combinations.forEach((others, points) -> seriesList.add(series(metric, others, param, points)));
        }
    }

    private static Series series(Metric metric, String others, String param, Map<Double, Double> points) {
        List<Series.Point> list = new ArrayList<>();
        points.forEach((size, figure) -> list.add(new Series.Point(size, figure)));
        return new Series(metric.name + others, metric.unit, param, list);
    }

    private static Set<String> numericParams(List<BenchmarkResult> results) {
        Set<String> numeric = new TreeSet<>(results.get(0).params().keySet());
        numeric.removeIf(param ->
                !results.stream().allMatch(result -> result.params().get(param).matches("\\d+(\\.\\d+)?")));
        return numeric;
    }

    /** Returns {@code routes.find} for {@code RoutesBenchmark.find}. */
    private static String plainName(String benchmark) {
        String bare = benchmark.replaceFirst("Benchmark\\.", ".");
        return bare.substring(0, 1).toLowerCase(Locale.ROOT) + bare.substring(1);
    }
}

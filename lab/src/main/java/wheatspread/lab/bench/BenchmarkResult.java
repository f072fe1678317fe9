package wheatspread.lab.bench;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.json.JSONObject;
import org.openjdk.jmh.infra.BenchmarkParams;
import org.openjdk.jmh.results.Result;
import org.openjdk.jmh.results.RunResult;

/**
 * A result of JMH, with the names that a report gives it.
 *
 * @param benchmark class and method, such as {@code RoutesBenchmark.find}
 * @param params values of the benchmark's params by name
 * @param score time of an operation, in {@code unit}
 * @param error half the width of the score's confidence interval
 * @param unit unit of the score, such as {@code ns/op}
 * @param bytesPerOperation bytes that an operation allocates; NaN if not measured
 */
public record BenchmarkResult(
        String benchmark,
        Map<String, String> params,
        double score,
        double error,
        String unit,
        double bytesPerOperation) {
    private static final String ALLOCATION_METRIC = "gc.alloc.rate.norm";

    public BenchmarkResult {
        params = new TreeMap<>(params);
    }

    /** Converts a result of JMH. */
    public static BenchmarkResult of(RunResult result) {
        BenchmarkParams benchmarkParams = result.getParams();
        Map<String, String> params = new LinkedHashMap<>();
        benchmarkParams.getParamsKeys().forEach(key -> params.put(key, benchmarkParams.getParam(key)));
        Result<?> primary = result.getPrimaryResult();
        double bytes = result.getSecondaryResults().keySet().stream()
                .filter(key -> key.endsWith(ALLOCATION_METRIC))
                .mapToDouble(key -> result.getSecondaryResults().get(key).getScore())
                .findFirst()
                .orElse(Double.NaN);
        return new BenchmarkResult(
                benchmarkParams.getBenchmark().replaceAll(".*\\.(\\w+\\.\\w+)$", "$1"),
                params,
                primary.getScore(),
                primary.getScoreError(),
                primary.getScoreUnit(),
                bytes);
    }

    /** Returns the name of the report's part; a single param is named by its value, several by {@code name=value}. */
    public String part() {
        Collection<String> values = params.values();
        if (params.size() == 1) {
            return benchmark + " " + values.iterator().next();
        }
        return benchmark + paramsWithout("");
    }

    /** Returns the params except {@code omitted} as {@code name=value}, each after a space. */
    String paramsWithout(String omitted) {
        return params.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(omitted))
                .map(entry -> " " + entry.getKey() + "=" + entry.getValue())
                .collect(Collectors.joining());
    }

    /** Returns the figures of the report's part. */
    public JSONObject figures() {
        JSONObject figures = new JSONObject().put("score", score).put("unit", unit);
        if (Double.isFinite(error)) {
            figures.put("error", error);
        }
        return Double.isNaN(bytesPerOperation) ? figures : figures.put("bytes_per_op", bytesPerOperation);
    }
}

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
 * One result of JMH, by the names under which a report holds it.
 *
 * @param benchmark class and method, such as {@code RoutesBenchmark.find}
 * @param params the values of the benchmark's params by their names
 * @param score the time of an operation
 * @param error half the width of the score's confidence interval
 * @param unit of the score, such as {@code ns/op}
 * @param bytesPerOperation what an operation allocates; NaN where it was not measured
 */
public record Measured(
        String benchmark,
        Map<String, String> params,
        double score,
        double error,
        String unit,
        double bytesPerOperation) {
    private static final String ALLOCATION = "gc.alloc.rate.norm";

    public Measured {
        params = new TreeMap<>(params);
    }

    /** What JMH measured. */
    public static Measured of(RunResult result) {
        BenchmarkParams told = result.getParams();
        Map<String, String> params = new LinkedHashMap<>();
        told.getParamsKeys().forEach(key -> params.put(key, told.getParam(key)));
        Result<?> primary = result.getPrimaryResult();
        double bytes = result.getSecondaryResults().keySet().stream()
                .filter(key -> key.endsWith(ALLOCATION))
                .mapToDouble(key -> result.getSecondaryResults().get(key).getScore())
                .findFirst()
                .orElse(Double.NaN);
        return new Measured(
                told.getBenchmark().replaceAll(".*\\.(\\w+\\.\\w+)$", "$1"),
                params,
                primary.getScore(),
                primary.getScoreError(),
                primary.getScoreUnit(),
                bytes);
    }

    /** The name of its part: an only param stands as its bare value, several as {@code name=value}. */
    public String part() {
        Collection<String> values = params.values();
        if (params.size() == 1) {
            return benchmark + " " + values.iterator().next();
        }
        return benchmark + paramsWithout("");
    }

    /** The params but one as {@code name=value}, each after a blank. */
    String paramsWithout(String left) {
        return params.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(left))
                .map(entry -> " " + entry.getKey() + "=" + entry.getValue())
                .collect(Collectors.joining());
    }

    /** Its figures as a report holds them. */
    public JSONObject figures() {
        JSONObject figures = new JSONObject().put("score", score).put("unit", unit);
        if (Double.isFinite(error)) {
            figures.put("error", error);
        }
        return Double.isNaN(bytesPerOperation) ? figures : figures.put("bytes_per_op", bytesPerOperation);
    }
}

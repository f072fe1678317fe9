package wheatspread.lab.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import wheatspread.lab.report.Series;

/** Checks the names that results of JMH get in a report. */
class BenchmarkSeriesTest {
    @Test
    void namesPartBySingleParamValue() {
        assertThat(measured("TimersBenchmark.ours", Map.of("size", "1000"), 5).part())
                .isEqualTo("TimersBenchmark.ours 1000");
    }

    @Test
    void namesPartBySeveralParamsWithNames() {
        assertThat(find("10", "last", 1).part()).isEqualTo("RoutesBenchmark.find place=last routes=10");
    }

    @Test
    void plainSeriesHoldsMaximumOfCombinations() {
        List<Series> series = BenchmarkSeries.of(List.of(
                find("10", "first", 1), find("10", "last", 2), find("100", "first", 3), find("100", "last", 9)));
        assertThat(series)
                .extracting(Series::name)
                .containsExactly(
                        "routes.find_us",
                        "routes.find_us place=first",
                        "routes.find_us place=last",
                        "routes.find_bytes",
                        "routes.find_bytes place=first",
                        "routes.find_bytes place=last");
        assertThat(series.get(0).per()).isEqualTo("routes");
        assertThat(series.get(0).points()).containsExactly(new Series.Point(10, 2), new Series.Point(100, 9));
    }

    @Test
    void namesSeriesByParamIfSeveralAreNumeric() {
        List<Series> series = BenchmarkSeries.of(List.of(
                measured("DecisionBenchmark.run", Map.of("tenants", "10", "held", "5"), 1),
                measured("DecisionBenchmark.run", Map.of("tenants", "20", "held", "5"), 2)));
        assertThat(series)
                .extracting(Series::name)
                .containsExactly("decision.run_us_by_tenants", "decision.run_bytes_by_tenants");
    }

    private static BenchmarkResult find(String routes, String place, double score) {
        return measured("RoutesBenchmark.find", Map.of("routes", routes, "place", place), score);
    }

    private static BenchmarkResult measured(String benchmark, Map<String, String> params, double score) {
        return new BenchmarkResult(benchmark, params, score, 0.1, "us/op", 16);
    }
}

package wheatspread.lab.settings;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.json.JSONObject;
import wheatspread.lab.report.Report;
import wheatspread.lab.report.Series;

/** Collects figures measured at several sizes and adds them to a report as series. */
public final class SizeSeries {
    /** A figure of a dimension: the name and unit of its series, and its JSON pointer in the figures of a point. */
    private record Figure(String name, String unit, String pointer) {}

    /** The quantity that is varied, with the figures that become series. */
    public enum Dimension {
        TENANTS(
                "tenants",
                List.of(
                        new Figure("start.seconds", "s", "/start/seconds"),
                        new Figure("start.resident_bytes", "bytes", "/start/resident_bytes"),
                        new Figure("start.heap_bytes", "bytes", "/start/heap_bytes"),
                        new Figure("start.cpu_seconds", "s", "/start/cpu_seconds"),
                        new Figure("reload.seconds", "s", "/reload/one_by_one/seconds_median"),
                        new Figure("reload.peak_resident_bytes", "bytes", "/reload/peak_resident_bytes"),
                        new Figure("reload.longest_turn_ms", "ms", "/reload/longest_turn_ms"),
                        new Figure("reload.check_ms_p99", "ms", "/reload/checks/ms_p99"),
                        new Figure("request.added_ms_p50_by_tenants", "ms", "/delay/added_ms_p50"),
                        new Figure("request.added_ms_p99_by_tenants", "ms", "/delay/added_ms_p99"))),
        ROUTES(
                "routes",
                List.of(
                        new Figure("start.seconds_by_routes", "s", "/start/seconds"),
                        new Figure("start.resident_bytes_by_routes", "bytes", "/start/resident_bytes"),
                        new Figure("start.heap_bytes_by_routes", "bytes", "/start/heap_bytes"),
                        new Figure("request.added_ms_p50_by_routes", "ms", "/delay/added_ms_p50"),
                        new Figure("request.added_ms_p99_by_routes", "ms", "/delay/added_ms_p99"))),
        HELD(
                "held",
                List.of(
                        new Figure("request.added_ms_p50_by_held", "ms", "/held/added_ms_p50"),
                        new Figure("request.added_ms_p99_by_held", "ms", "/held/added_ms_p99"))),
        CONNECTIONS(
                "connections",
                List.of(
                        new Figure("server.idle_connection_bytes", "bytes", "/idle_connection_bytes"),
                        new Figure("request.added_ms_p50_by_connections", "ms", "/delay/added_ms_p50"),
                        new Figure("request.added_ms_p99_by_connections", "ms", "/delay/added_ms_p99")));

        private final String per;
        private final List<Figure> figures;

        Dimension(String per, List<Figure> figures) {
            this.per = per;
            this.figures = figures;
        }
    }

    private final Dimension dimension;
    private final Map<Figure, List<Series.Point>> points = new LinkedHashMap<>();

    public SizeSeries(Dimension dimension) {
        this.dimension = dimension;
    }

    /** Adds the figures measured at a size; a missing figure, as of a server that did not start, gives no point. */
    public void add(double size, JSONObject measured) {
        for (Figure figure : dimension.figures) {
            if (measured.optQuery(figure.pointer) instanceof Number value) {
                points.computeIfAbsent(figure, key -> new ArrayList<>())
                        .add(new Series.Point(size, value.doubleValue()));
            }
        }
    }

    /** Adds a series to the report for each figure that was measured. */
    public void addTo(Report report) {
        points.forEach((figure, measured) -> report.add(new Series(figure.name, figure.unit, dimension.per, measured)));
    }
}

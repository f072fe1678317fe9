package wheatspread.lab.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.json.JSONArray;
import org.json.JSONObject;
import wheatspread.lab.report.Series;

/** The report files of a folder; each file is read once. */
public final class ReportFiles {
    private static final String NOT_RUN = "not_run";
    private static final String FAULTS = "faults";

    private final Path folder;
    private final Map<String, Optional<JSONObject>> reports = new TreeMap<>();

    public ReportFiles(Path folder) {
        this.folder = folder;
    }

    /**
     * Returns the points of a planned line; empty if the report or the series does not exist, or if its points have too
     * few different sizes for the fit.
     */
    Optional<Series> points(LinePlan line) throws IOException {
        Optional<JSONObject> report = report(line.report());
        if (report.isEmpty()) {
            return Optional.empty();
        }
        Optional<Series> series = line.series() == null
                ? figures(line, report.get())
                : Series.of(report.get()).stream()
                        .filter(candidate -> candidate.name().equals(line.series()))
                        .findFirst();
        return series.filter(found -> found.points().stream()
                        .mapToDouble(Series.Point::size)
                        .distinct()
                        .count()
                >= line.fit().minSizes());
    }

    /** Returns the command that wrote a report, with absolute paths replaced by {@code DIR}; empty if it is unknown. */
    String command(String file) throws IOException {
        return report(file)
                .map(report -> report.optString("command", "").replaceAll("(?<= )/\\S+", "DIR"))
                .orElse("");
    }

    /** Returns the findings of the runs that were not started or that list faults, sorted by the names of the runs. */
    List<RunFinding> findings(String file) throws IOException {
        List<RunFinding> findings = new ArrayList<>();
        JSONObject report = report(file).orElseGet(JSONObject::new);
        for (String name : new TreeSet<>(report.keySet())) {
            JSONObject run = report.optJSONObject(name, new JSONObject());
            if (run.has(NOT_RUN)) {
                findings.add(new RunFinding(name, "not run: " + run.getString(NOT_RUN)));
            } else {
                findings.addAll(RunFinding.ofFaults(name, run.optJSONArray(FAULTS, new JSONArray())));
            }
        }
        return findings;
    }

    private static Optional<Series> figures(LinePlan line, JSONObject report) {
        List<Series.Point> points = new ArrayList<>();
        for (LinePlan.PlannedPoint point : line.figures()) {
            Object value = report;
            for (String key : point.keys()) {
                value = value instanceof JSONObject object ? object.opt(key) : null;
            }
            if (!(value instanceof Number number)) {
                return Optional.empty();
            }
            points.add(new Series.Point(point.size(), number.doubleValue()));
        }
        return Optional.of(new Series(line.pointsName(), line.unit(), line.evaluatedAt(), points));
    }

    private Optional<JSONObject> report(String file) throws IOException {
        if (!reports.containsKey(file)) {
            Path path = folder.resolve(file);
            reports.put(
                    file, Files.exists(path) ? Optional.of(new JSONObject(Files.readString(path))) : Optional.empty());
        }
        return reports.get(file);
    }
}

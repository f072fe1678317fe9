package wheatspread.lab.capacity;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import wheatspread.lab.report.Series;

/** A plan with its figures, worked out from report files. */
public final class Capacity {
    private final CapacityPlan plan;
    private final ReportFiles reports;
    private final Map<String, Line> lines = new LinkedHashMap<>();
    private final Map<String, Figure> named = new LinkedHashMap<>();
    private final List<Row> rows = new ArrayList<>();

    /** A planned line with its points; {@code series} and {@code fitted} are null where it was not measured. */
    record Line(LinePlan plan, Series series, FittedLine fitted, Figure figure) {}

    /** A planned row with its figure. */
    record Row(RowPlan plan, Figure figure) {
        boolean isMeasured() {
            return figure.basis() != Basis.NOT_MEASURED;
        }

        /** The figure over its budget at one of the two sizes. */
        double ratio(Scale scale) {
            return plan.budget().ratio(figure.at(scale));
        }
    }

    private Capacity(CapacityPlan plan, ReportFiles reports) {
        this.plan = plan;
        this.reports = reports;
    }

    /**
     * Works a plan out.
     *
     * @throws IOException where a report file cannot be read
     */
    public static Capacity of(CapacityPlan plan, ReportFiles reports) throws IOException {
        Capacity capacity = new Capacity(plan, reports);
        plan.quantities().forEach((name, one) -> capacity.named.put(name, one.figure()));
        plan.assumed()
                .forEach((name, one) ->
                        capacity.named.put(name, new Figure(one.value(), one.value(), Basis.ASSUMED, 0)));
        for (LinePlan one : plan.lines().values()) {
            Line line = capacity.line(one);
            capacity.lines.put(one.name(), line);
            capacity.named.put(one.name(), line.figure());
        }
        plan.rows().forEach(row -> capacity.rows.add(new Row(row, capacity.figure(row.value()))));
        return capacity;
    }

    /**
     * The generated blocks of the page in Markdown, each by its name.
     *
     * @throws IOException where a report file cannot be read
     */
    public Map<String, List<String>> blocks() throws IOException {
        return new CapacityTables(this).blocks();
    }

    CapacityPlan plan() {
        return plan;
    }

    ReportFiles reports() {
        return reports;
    }

    List<Line> lines() {
        return List.copyOf(lines.values());
    }

    List<Row> rows() {
        return rows;
    }

    /** The rows that have a figure and a budget, the one furthest over its budget first. */
    List<Row> byRatio() {
        return rows.stream()
                .filter(row -> row.isMeasured() && row.plan().budget() != null)
                .sorted(Comparator.comparingDouble((Row row) -> row.ratio(Scale.FULL))
                        .reversed())
                .toList();
    }

    private Line line(LinePlan line) throws IOException {
        Optional<Series> series = reports.points(line);
        if (series.isEmpty()) {
            return new Line(line, null, null, Figure.NOT_MEASURED);
        }
        FittedLine fitted = line.fit().through(series.get().points());
        Quantity at = plan.quantities().get(line.at());
        return new Line(
                line,
                series.get(),
                fitted,
                new Figure(
                        fitted.at(at.at(Scale.FULL)),
                        fitted.at(at.at(Scale.TENTH)),
                        at.basis().weaker(line.basis()),
                        fitted.stretch(at.at(Scale.FULL))));
    }

    private Figure figure(Expression value) {
        if (value == null) {
            return Figure.NOT_MEASURED;
        }
        Basis basis = Basis.GIVEN;
        double stretch = 0;
        for (String name : value.names()) {
            basis = basis.weaker(named.get(name).basis());
            stretch = Math.max(stretch, named.get(name).stretch());
        }
        return basis == Basis.NOT_MEASURED
                ? Figure.NOT_MEASURED
                : new Figure(
                        value.evaluate(name -> named.get(name).full()),
                        value.evaluate(name -> named.get(name).tenth()),
                        basis,
                        stretch);
    }
}

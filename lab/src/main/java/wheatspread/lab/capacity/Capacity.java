package wheatspread.lab.capacity;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import wheatspread.lab.report.Series;

/** A plan and the figures computed for it from report files. */
public final class Capacity {
    private final CapacityPlan plan;
    private final ReportFiles reports;
    private final Map<String, Line> lines = new LinkedHashMap<>();
    private final Map<String, Figure> figuresByName = new LinkedHashMap<>();
    private final List<Row> rows = new ArrayList<>();

    /** A planned line with its points; {@code series} and {@code fitted} are null if the line was not measured. */
    record Line(LinePlan plan, Series series, FittedLine fitted, Figure figure) {}

    /** A planned row with its figure. */
    record Row(RowPlan plan, Figure figure) {
        boolean isMeasured() {
            return figure.basis() != Basis.NOT_MEASURED;
        }

        /** Returns the figure divided by its budget at a size; the row must have a budget. */
        double ratio(Scale scale) {
            return plan.budget().ratio(figure.valueAt(scale));
        }
    }

    private Capacity(CapacityPlan plan, ReportFiles reports) {
        this.plan = plan;
        this.reports = reports;
    }

    /**
     * Computes all lines and rows of a plan.
     *
     * @throws IOException if a report file cannot be read
     */
    public static Capacity of(CapacityPlan plan, ReportFiles reports) throws IOException {
        Capacity capacity = new Capacity(plan, reports);
        plan.quantities().forEach((name, quantity) -> capacity.figuresByName.put(name, quantity.figure()));
        plan.assumed()
                .forEach((name, assumption) -> capacity.figuresByName.put(
                        name, new Figure(assumption.value(), assumption.value(), Basis.ASSUMED, 0)));
        for (LinePlan linePlan : plan.lines().values()) {
            Line line = capacity.line(linePlan);
            capacity.lines.put(linePlan.name(), line);
            capacity.figuresByName.put(linePlan.name(), line.figure());
        }
        plan.rows().forEach(row -> capacity.rows.add(new Row(row, capacity.figure(row.value()))));
        return capacity;
    }

    /**
     * Returns the generated blocks of the page in Markdown, by the names of the blocks.
     *
     * @throws IOException if a report file cannot be read
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

    /** The rows that have a figure and a budget, by descending ratio of figure to budget at the full size. */
    List<Row> rowsByRatio() {
        return rows.stream()
                .filter(row -> row.isMeasured() && row.plan().budget() != null)
                .sorted(Comparator.comparingDouble((Row row) -> row.ratio(Scale.FULL))
                        .reversed())
                .toList();
    }

    private Line line(LinePlan linePlan) throws IOException {
        Optional<Series> series = reports.points(linePlan);
        if (series.isEmpty()) {
            return new Line(linePlan, null, null, Figure.NOT_MEASURED);
        }
        FittedLine fitted = linePlan.fit().through(series.get().points());
        Quantity quantity = plan.quantities().get(linePlan.evaluatedAt());
        return new Line(
                linePlan,
                series.get(),
                fitted,
                new Figure(
                        fitted.valueAt(quantity.valueAt(Scale.FULL)),
                        fitted.valueAt(quantity.valueAt(Scale.TENTH)),
                        quantity.basis().weaker(linePlan.basis()),
                        fitted.stretch(quantity.valueAt(Scale.FULL))));
    }

    private Figure figure(Expression value) {
        if (value == null) {
            return Figure.NOT_MEASURED;
        }
        Basis basis = Basis.GIVEN;
        double stretch = 0;
        for (String name : value.names()) {
            basis = basis.weaker(figuresByName.get(name).basis());
            stretch = Math.max(stretch, figuresByName.get(name).stretch());
        }
        return basis == Basis.NOT_MEASURED
                ? Figure.NOT_MEASURED
                : new Figure(
                        value.evaluate(name -> figuresByName.get(name).full()),
                        value.evaluate(name -> figuresByName.get(name).tenth()),
                        basis,
                        stretch);
    }
}

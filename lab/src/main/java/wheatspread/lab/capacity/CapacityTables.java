package wheatspread.lab.capacity;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import wheatspread.lab.report.Series;

/** Generates the blocks of the page in Markdown. */
final class CapacityTables {
    private static final String EMPTY = "";

    private final Capacity capacity;

    CapacityTables(Capacity capacity) {
        this.capacity = capacity;
    }

    /** Returns all blocks by their names, in the order of the page. */
    Map<String, List<String>> blocks() throws IOException {
        Map<String, List<String>> blocks = new LinkedHashMap<>();
        blocks.put("quantities", quantities());
        blocks.put("budgets", budgets());
        blocks.put("rows", rows());
        blocks.put("lines", lines());
        blocks.put("commands", commands());
        blocks.put("assumed", assumed());
        blocks.put("order", order());
        blocks.put("unmeasured", unmeasured());
        blocks.put("failed", failedRuns());
        return blocks;
    }

    private List<String> quantities() {
        List<String> table = head("quantity", "what", "at a tenth", "at the size", "unit", "basis");
        capacity.plan()
                .quantities()
                .values()
                .forEach(quantity -> table.add(row(
                        code(quantity.name()),
                        quantity.text(),
                        Numbers.given(quantity.valueAt(Scale.TENTH)),
                        Numbers.given(quantity.value()),
                        quantity.unit(),
                        quantity.basis().label())));
        return table;
    }

    private List<String> budgets() {
        List<String> table = head("budget", "what", "at most", "unit");
        capacity.plan()
                .budgets()
                .values()
                .forEach(budget ->
                        table.add(row(budget.name(), budget.text(), Numbers.given(budget.value()), budget.unit())));
        return table;
    }

    private List<String> rows() {
        List<String> block = new ArrayList<>();
        Set<String> roles = new LinkedHashSet<>();
        capacity.rows().forEach(row -> roles.add(row.plan().role()));
        for (String role : roles) {
            if (!block.isEmpty()) {
                block.add("");
            }
            block.add("### " + role.substring(0, 1).toUpperCase() + role.substring(1));
            block.add("");
            block.addAll(head(
                    "situation",
                    "what",
                    "at a tenth",
                    "at the size",
                    "unit",
                    "budget",
                    "figure/budget",
                    "basis",
                    "stretch",
                    "carried by",
                    "worked out as"));
            capacity.rows().stream()
                    .filter(row -> row.plan().role().equals(role))
                    .forEach(row -> block.add(row(row)));
        }
        return block;
    }

    private static String row(Capacity.Row row) {
        RowPlan plan = row.plan();
        Figure figure = row.figure();
        return row(
                plan.situation(),
                plan.description(),
                Numbers.rounded(figure.tenth()),
                Numbers.rounded(figure.full()),
                plan.unit(),
                plan.budget() == null ? EMPTY : Numbers.given(plan.budget().value()),
                plan.budget() == null || !row.isMeasured() ? EMPTY : Numbers.rounded(row.ratio(Scale.FULL)),
                figure.basis().label(),
                stretch(figure),
                mechanism(plan),
                (plan.value() == null ? EMPTY : code(plan.value().toString()))
                        + (plan.note().isEmpty() ? EMPTY : (plan.value() == null ? EMPTY : "; ") + plan.note()));
    }

    private List<String> lines() {
        List<String> table = head(
                "line",
                "points: size, value",
                "unit, per",
                "evaluated at",
                "report",
                "basis",
                "fit",
                "slope",
                "intercept",
                "largest miss",
                "at a tenth",
                "at the size",
                "stretch");
        for (Capacity.Line line : capacity.lines()) {
            if (line.fitted() != null) {
                table.add(row(
                        code(line.plan().name()),
                        points(line.series()),
                        line.series().unit() + ", " + line.series().per(),
                        code(line.plan().evaluatedAt()),
                        line.plan().report(),
                        line.plan().basis().label(),
                        line.plan().fit().planName(),
                        Numbers.rounded(line.fitted().slope()),
                        Numbers.rounded(line.fitted().intercept()),
                        Numbers.percent(line.fitted().largestResidual()),
                        Numbers.rounded(line.figure().tenth()),
                        Numbers.rounded(line.figure().full()),
                        stretch(line.figure())));
            }
        }
        return table;
    }

    private static String points(Series series) {
        return series.points().stream()
                .map(point -> Numbers.point(point.size()) + ": " + Numbers.point(point.value()))
                .collect(Collectors.joining("; "));
    }

    private List<String> commands() throws IOException {
        List<String> table = head("report", "written by");
        for (String file : reportFiles()) {
            table.add(row(file, code(capacity.reports().command(file))));
        }
        return table;
    }

    /** The report files from which at least one line was read. */
    private Set<String> reportFiles() {
        return capacity.lines().stream()
                .filter(line -> line.fitted() != null)
                .map(line -> line.plan().report())
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private List<String> assumed() {
        List<String> table = head("assumption", "value", "unit", "because");
        capacity.plan()
                .assumed()
                .values()
                .forEach(assumption -> table.add(row(
                        code(assumption.name()),
                        Numbers.given(assumption.value()),
                        assumption.unit(),
                        assumption.because())));
        return table;
    }

    private List<String> order() {
        List<String> table = head(
                "",
                "figure/budget",
                "at a tenth",
                "role",
                "situation",
                "what",
                "figure",
                "budget",
                "unit",
                "basis",
                "stretch",
                "carried by");
        int rank = 0;
        for (Capacity.Row row : capacity.rowsByRatio()) {
            RowPlan plan = row.plan();
            table.add(row(
                    ++rank + "",
                    Numbers.rounded(row.ratio(Scale.FULL)),
                    Numbers.rounded(row.ratio(Scale.TENTH)),
                    plan.role(),
                    plan.situation(),
                    plan.description(),
                    Numbers.rounded(row.figure().full()),
                    Numbers.given(plan.budget().value()),
                    plan.unit(),
                    row.figure().basis().label(),
                    stretch(row.figure()),
                    mechanism(plan)));
        }
        return table;
    }

    private List<String> unmeasured() {
        List<String> table = head("role", "situation", "what", "budget", "carried by", "waits for");
        capacity.rows().stream()
                .filter(row -> !row.isMeasured())
                .forEach(row -> table.add(row(
                        row.plan().role(),
                        row.plan().situation(),
                        row.plan().description(),
                        row.plan().budget() == null
                                ? EMPTY
                                : Numbers.given(row.plan().budget().value()) + " "
                                        + row.plan().budget().unit(),
                        mechanism(row.plan()),
                        waitsFor(row.plan()))));
        return table;
    }

    private List<String> failedRuns() throws IOException {
        List<String> table = head("report", "run", "what the report says");
        for (String file : reportFiles()) {
            capacity.reports().findings(file).forEach(finding -> table.add(row(file, finding.run(), finding.text())));
        }
        return table;
    }

    /** The missing series of a row, each with its report; the row's note if the row has no formula. */
    private String waitsFor(RowPlan row) {
        if (row.value() == null) {
            return row.note();
        }
        return capacity.lines().stream()
                .filter(line -> line.fitted() == null
                        && row.value().names().contains(line.plan().name()))
                .map(line ->
                        code(line.plan().pointsName()) + " of " + line.plan().report())
                .collect(Collectors.joining(", "));
    }

    private static String stretch(Figure figure) {
        return figure.stretch() == 0 ? EMPTY : Numbers.rounded(figure.stretch());
    }

    private static String mechanism(RowPlan plan) {
        return plan.mechanism().isEmpty()
                ? "*missing*"
                : plan.mechanism().stream().map(CapacityTables::code).collect(Collectors.joining(", "));
    }

    private static String code(String text) {
        return "`" + text + "`";
    }

    private static List<String> head(String... cells) {
        List<String> table = new ArrayList<>();
        table.add(row(cells));
        table.add("| --- ".repeat(cells.length) + "|");
        return table;
    }

    private static String row(String... cells) {
        return "| " + String.join(" | ", cells) + " |";
    }
}

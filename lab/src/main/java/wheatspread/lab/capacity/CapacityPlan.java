package wheatspread.lab.capacity;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wheatspread.config.JsonFields;
import wheatspread.config.JsonFile;

/** The planned size of an installation and the rows to compute for it, read from a file. */
public record CapacityPlan(
        Map<String, Quantity> quantities,
        Map<String, Budget> budgets,
        Map<String, Assumption> assumed,
        Map<String, LinePlan> lines,
        List<RowPlan> rows) {
    private static final String PACKAGE = "wheatspread.";
    private static final String MISSING = "missing";

    /** Reads a plan; the message of the exception for an invalid plan names the file and the key. */
    public static CapacityPlan read(Path file) {
        return read(JsonFile.read(file));
    }

    static CapacityPlan read(JsonFields fields) {
        fields.requireKnownKeys(Set.of("quantities", "budgets", "assumed", "lines", "rows"));
        CapacityPlan plan = new CapacityPlan(
                new LinkedHashMap<>(),
                new LinkedHashMap<>(),
                new LinkedHashMap<>(),
                new LinkedHashMap<>(),
                new ArrayList<>());
        fields.objects("quantities").forEach(plan::readQuantity);
        fields.objects("budgets").forEach(plan::readBudget);
        fields.objects("assumed").forEach(plan::readAssumption);
        fields.objects("lines").forEach(plan::readLine);
        fields.objects("rows").forEach(plan::readRow);
        fields.throwIfInvalid();
        return plan;
    }

    private void readQuantity(JsonFields fields) {
        fields.requireKnownKeys(Set.of("name", "value", "unit", "text", "fixed", "assumed"));
        Quantity quantity = new Quantity(
                newName(fields),
                fields.number("value"),
                fields.text("unit"),
                fields.text("text"),
                fields.flag("fixed", false),
                fields.flag("assumed", false));
        quantities.put(quantity.name(), quantity);
    }

    private void readBudget(JsonFields fields) {
        fields.requireKnownKeys(Set.of("name", "value", "unit", "text"));
        Budget budget =
                new Budget(fields.text("name"), fields.number("value"), fields.text("unit"), fields.text("text"));
        if (budget.value() <= 0 || budgets.put(budget.name(), budget) != null) {
            throw fields.invalidValue("name", "is used already, or its value is not positive: " + budget);
        }
    }

    private void readAssumption(JsonFields fields) {
        fields.requireKnownKeys(Set.of("name", "value", "unit", "because"));
        Assumption assumption =
                new Assumption(newName(fields), fields.number("value"), fields.text("unit"), fields.text("because"));
        assumed.put(assumption.name(), assumption);
    }

    private void readLine(JsonFields fields) {
        fields.requireKnownKeys(Set.of("name", "report", "series", "figures", "unit", "fit", "at", "virtual"));
        String name = newName(fields);
        if (fields.has("series") == fields.has("figures")) {
            throw fields.invalidValue("series", "or figures must be present, but not both");
        }
        String evaluatedAt = fields.text("at");
        if (!quantities.containsKey(evaluatedAt)) {
            throw fields.invalidValue("at", "is no quantity: " + evaluatedAt + "; known are " + quantities.keySet());
        }
        List<LinePlan.PlannedPoint> figures = new ArrayList<>();
        for (JsonFields figure : fields.objects("figures")) {
            figure.requireKnownKeys(Set.of("size", "keys"));
            figures.add(new LinePlan.PlannedPoint(figure.number("size"), figure.textList("keys")));
        }
        lines.put(
                name,
                new LinePlan(
                        name,
                        fields.text("report"),
                        fields.text("series", null),
                        figures,
                        fields.text("unit", ""),
                        fields.oneOf("fit", Fit.byPlanName()),
                        evaluatedAt,
                        fields.flag("virtual", false)));
    }

    private void readRow(JsonFields fields) {
        fields.requireKnownKeys(Set.of("role", "situation", "what", "unit", "value", "mechanism", "budget", "note"));
        Budget budget = budgets.get(fields.text("budget", ""));
        if (fields.has("budget") && budget == null) {
            throw fields.invalidValue("budget", "is none of " + budgets.keySet());
        }
        if (!fields.has("value") && !fields.has("note")) {
            throw fields.invalidValue("note", "must say why there is no value");
        }
        rows.add(new RowPlan(
                fields.text("role"),
                fields.text("situation"),
                fields.text("what"),
                fields.text("unit"),
                fields.has("value") ? expression(fields) : null,
                mechanism(fields),
                budget,
                fields.text("note", "")));
    }

    private Expression expression(JsonFields fields) {
        Expression expression;
        try {
            expression = Expression.parse(fields.text("value"));
        } catch (IllegalArgumentException e) {
            throw fields.invalidValue("value", "cannot be read: " + e.getMessage());
        }
        for (String name : expression.names()) {
            if (!isNamed(name)) {
                throw fields.invalidValue("value", "names " + name + ", which is no quantity, assumption or line");
            }
        }
        return expression;
    }

    /** Returns the classes of the server that a row names; throws if a class does not exist. */
    private static List<String> mechanism(JsonFields fields) {
        List<String> classes = fields.textList("mechanism");
        if (classes.isEmpty()) {
            throw fields.invalidValue("mechanism", "is empty; a row without a class needs [\"" + MISSING + "\"]");
        }
        if (classes.equals(List.of(MISSING))) {
            return List.of();
        }
        for (String name : classes) {
            try {
                Class.forName(PACKAGE + name, false, CapacityPlan.class.getClassLoader());
            } catch (ClassNotFoundException e) {
                throw fields.invalidValue("mechanism", "names a class that does not exist: " + PACKAGE + name);
            }
        }
        return classes;
    }

    private String newName(JsonFields fields) {
        String name = fields.text("name");
        if (isNamed(name)) {
            throw fields.invalidValue("name", "is used already: " + name);
        }
        return name;
    }

    private boolean isNamed(String name) {
        return quantities.containsKey(name) || assumed.containsKey(name) || lines.containsKey(name);
    }
}

package wheatspread.lab.capacity;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wheatspread.config.JsonFields;
import wheatspread.config.JsonFile;

/** The size that is planned for and the rows that are worked out for it; read from a file. */
public record CapacityPlan(
        Map<String, Quantity> quantities,
        Map<String, Budget> budgets,
        Map<String, Assumption> assumed,
        Map<String, LinePlan> lines,
        List<RowPlan> rows) {
    private static final String PACKAGE = "wheatspread.";
    private static final String MISSING = "missing";

    /** Complaints name the file and the key. */
    public static CapacityPlan read(Path file) {
        return read(JsonFile.read(file));
    }

    static CapacityPlan read(JsonFields told) {
        told.requireKnownKeys(Set.of("quantities", "budgets", "assumed", "lines", "rows"));
        CapacityPlan plan = new CapacityPlan(
                new LinkedHashMap<>(),
                new LinkedHashMap<>(),
                new LinkedHashMap<>(),
                new LinkedHashMap<>(),
                new ArrayList<>());
        told.objects("quantities").forEach(plan::readQuantity);
        told.objects("budgets").forEach(plan::readBudget);
        told.objects("assumed").forEach(plan::readAssumption);
        told.objects("lines").forEach(plan::readLine);
        told.objects("rows").forEach(plan::readRow);
        told.throwIfInvalid();
        return plan;
    }

    private void readQuantity(JsonFields told) {
        told.requireKnownKeys(Set.of("name", "value", "unit", "text", "fixed", "assumed"));
        Quantity quantity = new Quantity(
                newName(told),
                told.number("value"),
                told.text("unit"),
                told.text("text"),
                told.flag("fixed", false),
                told.flag("assumed", false));
        quantities.put(quantity.name(), quantity);
    }

    private void readBudget(JsonFields told) {
        told.requireKnownKeys(Set.of("name", "value", "unit", "text"));
        Budget budget = new Budget(told.text("name"), told.number("value"), told.text("unit"), told.text("text"));
        if (budget.value() <= 0 || budgets.put(budget.name(), budget) != null) {
            throw told.invalidValue("name", "is taken already, or its value is not positive: " + budget);
        }
    }

    private void readAssumption(JsonFields told) {
        told.requireKnownKeys(Set.of("name", "value", "unit", "because"));
        Assumption assumption =
                new Assumption(newName(told), told.number("value"), told.text("unit"), told.text("because"));
        assumed.put(assumption.name(), assumption);
    }

    private void readLine(JsonFields told) {
        told.requireKnownKeys(Set.of("name", "report", "series", "figures", "unit", "fit", "at", "virtual"));
        String name = newName(told);
        if (told.has("series") == told.has("figures")) {
            throw told.invalidValue("series", "or figures has to be there, and not both");
        }
        String at = told.text("at");
        if (!quantities.containsKey(at)) {
            throw told.invalidValue("at", "is no quantity: " + at + "; known are " + quantities.keySet());
        }
        List<LinePlan.At> figures = new ArrayList<>();
        for (JsonFields one : told.objects("figures")) {
            one.requireKnownKeys(Set.of("size", "keys"));
            figures.add(new LinePlan.At(one.number("size"), one.textList("keys")));
        }
        lines.put(
                name,
                new LinePlan(
                        name,
                        told.text("report"),
                        told.text("series", null),
                        figures,
                        told.text("unit", ""),
                        told.oneOf("fit", Fit.words()),
                        at,
                        told.flag("virtual", false)));
    }

    private void readRow(JsonFields told) {
        told.requireKnownKeys(Set.of("role", "situation", "what", "unit", "value", "mechanism", "budget", "note"));
        Budget budget = budgets.get(told.text("budget", ""));
        if (told.has("budget") && budget == null) {
            throw told.invalidValue("budget", "is none of " + budgets.keySet());
        }
        if (!told.has("value") && !told.has("note")) {
            throw told.invalidValue("note", "has to say why there is no value");
        }
        rows.add(new RowPlan(
                told.text("role"),
                told.text("situation"),
                told.text("what"),
                told.text("unit"),
                told.has("value") ? expression(told) : null,
                mechanism(told),
                budget,
                told.text("note", "")));
    }

    private Expression expression(JsonFields told) {
        Expression expression;
        try {
            expression = Expression.parse(told.text("value"));
        } catch (IllegalArgumentException e) {
            throw told.invalidValue("value", "cannot be read: " + e.getMessage());
        }
        for (String name : expression.names()) {
            if (!isNamed(name)) {
                throw told.invalidValue("value", "names " + name + ", which is no quantity, assumption or line");
            }
        }
        return expression;
    }

    /** The classes of the program that a row names; a class that does not exist is a fault. */
    private static List<String> mechanism(JsonFields told) {
        List<String> classes = told.textList("mechanism");
        if (classes.isEmpty()) {
            throw told.invalidValue("mechanism", "is empty; where nothing carries the row it is [\"" + MISSING + "\"]");
        }
        if (classes.equals(List.of(MISSING))) {
            return List.of();
        }
        for (String name : classes) {
            try {
                Class.forName(PACKAGE + name, false, CapacityPlan.class.getClassLoader());
            } catch (ClassNotFoundException e) {
                throw told.invalidValue("mechanism", "names a class that does not exist: " + PACKAGE + name);
            }
        }
        return classes;
    }

    private String newName(JsonFields told) {
        String name = told.text("name");
        if (isNamed(name)) {
            throw told.invalidValue("name", "is taken already: " + name);
        }
        return name;
    }

    private boolean isNamed(String name) {
        return quantities.containsKey(name) || assumed.containsKey(name) || lines.containsKey(name);
    }
}

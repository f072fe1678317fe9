package wheatspread.lab.capacity;

/**
 * A value that the plan assumes because it was not measured.
 *
 * @param name name of the value in the plan's expressions
 * @param because reason for this value
 */
public record Assumption(String name, double value, String unit, String because) {}

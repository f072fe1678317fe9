package wheatspread.lab.capacity;

/**
 * A value that was not measured.
 *
 * @param name how expressions of the plan call it
 * @param because why this value was taken
 */
public record Assumption(String name, double value, String unit, String because) {}

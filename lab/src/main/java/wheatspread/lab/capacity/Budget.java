package wheatspread.lab.capacity;

/**
 * The largest permitted value of a figure.
 *
 * @param name name of the budget in the plan's rows
 * @param text the resource that the budget limits, and its origin
 */
public record Budget(String name, double value, String unit, String text) {
    /** Returns the figure divided by the budget; above 1 the budget is exceeded. */
    double ratio(double figure) {
        return figure / value;
    }
}

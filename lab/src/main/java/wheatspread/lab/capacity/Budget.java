package wheatspread.lab.capacity;

/**
 * The most that a figure may be.
 *
 * @param name how rows of the plan call it
 * @param text what it bounds, and who set it
 */
public record Budget(String name, double value, String unit, String text) {
    /** The figure over the budget; above 1 it is broken. */
    double ratio(double figure) {
        return figure / value;
    }
}

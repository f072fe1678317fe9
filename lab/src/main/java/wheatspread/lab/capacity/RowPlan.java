package wheatspread.lab.capacity;

import java.util.List;

/**
 * A planned row of the page.
 *
 * @param role kind of process or machine that bears the cost
 * @param value formula of the row; null if there is none, for the reason in {@code note}
 * @param mechanism classes that implement the mechanism behind the row; empty if there are none yet
 * @param budget budget of the row; null if it has none
 */
public record RowPlan(
        String role,
        String situation,
        String description,
        String unit,
        Expression value,
        List<String> mechanism,
        Budget budget,
        String note) {
    public RowPlan {
        mechanism = List.copyOf(mechanism);
    }
}

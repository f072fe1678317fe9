package wheatspread.lab.capacity;

import java.util.List;

/**
 * One row of the page.
 *
 * @param role who bears it
 * @param value how it is worked out; null where nothing is known of it, which {@code note} explains
 * @param mechanism the classes that carry it; empty where there is none yet
 * @param budget null for none
 */
public record RowPlan(
        String role,
        String situation,
        String what,
        String unit,
        Expression value,
        List<String> mechanism,
        Budget budget,
        String note) {
    public RowPlan {
        mechanism = List.copyOf(mechanism);
    }
}

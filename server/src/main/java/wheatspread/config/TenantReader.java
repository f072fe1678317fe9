package wheatspread.config;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import wheatspread.admission.TenantList;
import wheatspread.core.NameTable;

/** Reads the list of tenants, the quotas into one array and the names into one table. */
final class TenantReader implements ListReader {
    /** The longest name, in bytes of UTF-8. */
    static final int MAX_NAME_BYTES = 1_024;

    private static final double MAX_QUOTA_PER_SECOND = 1e9;
    private static final int MAX_TENANTS = 1 << 18;

    private final boolean named;
    private final NameTable.Builder names = new NameTable.Builder();
    private double[] quotas = new double[8];
    private int size;
    /** By name, the element that it was read from and the line of that element. */
    private int[] elements = new int[8];

    private int[] lines = new int[8];
    private int distinct;
    private NameTable built;

    /** {@code named} is whether tenants have names: in the simulator's messages they have none. */
    TenantReader(boolean named) {
        this.named = named;
    }

    @Override
    public int maxElements() {
        return MAX_TENANTS;
    }

    @Override
    public void read(int index, JsonFields element) {
        if (size == quotas.length) {
            quotas = Arrays.copyOf(quotas, size + size / 2);
        }
        quotas[size++] = element.number("QuotaPerS", 0, 0, MAX_QUOTA_PER_SECOND);
        if (named) {
            name(index, element);
        }
    }

    private void name(int index, JsonFields element) {
        String name = element.text("Name");
        if (!(element.get("Name") instanceof String)) {
            return; // text() has reported it
        }
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        int first = names.indexOf(name);
        if (bytes.length < 1 || bytes.length > MAX_NAME_BYTES) {
            element.report("Name", "has " + bytes.length + " bytes; allowed are 1 to " + MAX_NAME_BYTES, null);
        } else if (!new String(bytes, StandardCharsets.UTF_8).equals(name)) {
            element.report("Name", "holds half a character, a surrogate without its pair", null);
        } else if (first >= 0) {
            element.report(
                    "Name", "is told twice, first by element " + elements[first] + place(first) + ": " + name, null);
        } else {
            try {
                add(index, element, name);
            } catch (IllegalArgumentException e) { // names made to have one hash code
                element.report("Name", "cannot be held: " + e.getMessage(), null);
            }
        }
    }

    private String place(int first) {
        return lines[first] > 0 ? " on line " + lines[first] : "";
    }

    private void add(int index, JsonFields element, String name) {
        if (distinct == elements.length) {
            elements = Arrays.copyOf(elements, distinct + distinct / 2);
            lines = Arrays.copyOf(lines, distinct + distinct / 2);
        }
        names.add(name);
        elements[distinct] = index;
        lines[distinct++] = element.line();
    }

    /** The tenants by index. */
    TenantList tenants() {
        return TenantList.ofQuotas(Arrays.copyOf(quotas, size));
    }

    /** The names by the same index, unless there were faults. */
    NameTable names() {
        if (built == null) {
            built = names.build();
        }
        return built;
    }

    /** What operators see in place of each tenant. */
    String summary() {
        double min = size == 0 ? 0 : quotas[0];
        double max = min;
        for (int i = 1; i < size; i++) {
            min = Math.min(min, quotas[i]);
            max = Math.max(max, quotas[i]);
        }
        return size + " tenants, QuotaPerS from " + min + " to " + max;
    }
}

package wheatspread.config;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import wheatspread.admission.TenantList;
import wheatspread.core.NameTable;

/** Reads the list of tenants: quotas into one array, names into one table. */
final class TenantReader implements ListReader {
    /** The longest name, in bytes of UTF-8. */
    static final int LONGEST_NAME = 1_024;
    /** Requests a second over the fleet. */
    private static final double MOST_QUOTA = 1e9;

    private static final int MOST = 1 << 18;

    private final boolean named;
    private final NameTable.Builder names = new NameTable.Builder();
    private double[] quotas = new double[8];
    private int size;
    /** Of each name, the element it was told by and the line of that element. */
    private int[] elements = new int[8];

    private int[] lines = new int[8];
    private int distinct;
    private NameTable built;

    /** {@code named} tells whether the names matter: the simulator's messages leave them out. */
    TenantReader(boolean named) {
        this.named = named;
    }

    @Override
    public int most() {
        return MOST;
    }

    @Override
    public void read(int index, JsonFields element) {
        if (size == quotas.length) {
            quotas = Arrays.copyOf(quotas, size + size / 2);
        }
        quotas[size++] = element.number("QuotaPerS", 0, 0, MOST_QUOTA);
        if (named) {
            name(index, element);
        }
    }

    private void name(int index, JsonFields element) {
        String name = element.text("Name");
        if (!(element.get("Name") instanceof String)) {
            return; // text() has complained
        }
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        int first = names.indexOf(name);
        if (bytes.length < 1 || bytes.length > LONGEST_NAME) {
            element.fault("Name", "has " + bytes.length + " bytes; allowed are 1 to " + LONGEST_NAME, null);
        } else if (!new String(bytes, StandardCharsets.UTF_8).equals(name)) {
            element.fault("Name", "holds half a character, a surrogate without its pair", null);
        } else if (first >= 0) {
            element.fault(
                    "Name", "is told twice, first by element " + elements[first] + place(first) + ": " + name, null);
        } else {
            try {
                add(index, element, name);
            } catch (IllegalArgumentException e) { // names made to have one hash code
                element.fault("Name", "cannot be held: " + e.getMessage(), null);
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

    /** Their names by the same index, unless there were complaints. */
    NameTable names() {
        if (built == null) {
            built = names.build();
        }
        return built;
    }

    /** What operators are shown in place of each tenant. */
    String summary() {
        double least = size == 0 ? 0 : quotas[0];
        double greatest = least;
        for (int i = 1; i < size; i++) {
            least = Math.min(least, quotas[i]);
            greatest = Math.max(greatest, quotas[i]);
        }
        return size + " tenants, QuotaPerS from " + least + " to " + greatest;
    }
}

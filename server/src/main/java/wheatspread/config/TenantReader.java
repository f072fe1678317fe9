package wheatspread.config;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import wheatspread.admission.TenantList;
import wheatspread.core.NameTable;

/** Reads the list of tenants into an array of quotas and a table of names. */
final class TenantReader implements ListReader {
    /** The maximum length of a name in UTF-8. */
    static final int MAX_NAME_BYTES = 1_024;

    private static final double MAX_QUOTA_PER_SECOND = 1e9;
    private static final int MAX_TENANTS = 1 << 18;

    private final boolean named;
    private final NameTable.Builder names = new NameTable.Builder();
    private double[] quotas = new double[8];
    private int size;
    /** The index of the element that a name was read from, by index of the name; {@link #lines} has its line. */
    private int[] elements = new int[8];

    private int[] lines = new int[8];
    private int nameCount;
    private NameTable built;

    /** {@code named} is false for the simulator's messages, where tenants have no names. */
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
            readName(index, element);
        }
    }

    private void readName(int index, JsonFields element) {
        String name = element.text("Name");
        if (!(element.get("Name") instanceof String)) {
            return; // text() has reported it
        }
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        int firstIndex = names.indexOf(name);
        if (bytes.length < 1 || bytes.length > MAX_NAME_BYTES) {
            element.report("Name", "has " + bytes.length + " bytes; allowed are 1 to " + MAX_NAME_BYTES, null);
        } else if (!new String(bytes, StandardCharsets.UTF_8).equals(name)) {
            element.report("Name", "contains an unpaired surrogate, which has no UTF-8 encoding", null);
        } else if (firstIndex >= 0) {
            element.report(
                    "Name",
                    "is already used by element " + elements[firstIndex] + lineSuffix(firstIndex) + ": " + name,
                    null);
        } else {
            try {
                addName(index, element, name);
            } catch (IllegalArgumentException e) { // too many names with the same hash code
                element.report("Name", "cannot be stored: " + e.getMessage(), null);
            }
        }
    }

    private String lineSuffix(int firstIndex) {
        return lines[firstIndex] > 0 ? " on line " + lines[firstIndex] : "";
    }

    private void addName(int index, JsonFields element, String name) {
        if (nameCount == elements.length) {
            elements = Arrays.copyOf(elements, nameCount + nameCount / 2);
            lines = Arrays.copyOf(lines, nameCount + nameCount / 2);
        }
        names.add(name);
        elements[nameCount] = index;
        lines[nameCount++] = element.line();
    }

    /** Returns the tenants by index. */
    TenantList tenants() {
        return TenantList.ofQuotas(Arrays.copyOf(quotas, size));
    }

    /** Returns the names; indexes are those of the tenants if there were no faults. */
    NameTable names() {
        if (built == null) {
            built = names.build();
        }
        return built;
    }

    /** Returns the text that show-config prints instead of the tenants. */
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

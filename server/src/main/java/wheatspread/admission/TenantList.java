package wheatspread.admission;

import java.util.AbstractList;
import java.util.Arrays;
import java.util.List;
import java.util.RandomAccess;

/**
 * An immutable list of tenants that takes 8 bytes for each: their quotas are one array, and {@link #get} creates the
 * object.
 */
public final class TenantList extends AbstractList<Tenant> implements RandomAccess {
    private final double[] quotas;

    private TenantList(double[] quotas) {
        this.quotas = quotas;
    }

    /** The tenants with these quotas, by index; throws {@link IllegalArgumentException} as {@link Tenant} does. */
    public static TenantList ofQuotas(double... quotas) {
        TenantList tenants = new TenantList(quotas.clone());
        for (int i = 0; i < quotas.length; i++) {
            tenants.get(i);
        }
        return tenants;
    }

    static TenantList copyOf(List<Tenant> tenants) {
        return tenants instanceof TenantList list
                ? list
                : new TenantList(
                        tenants.stream().mapToDouble(Tenant::quotaPerSecond).toArray());
    }

    @Override
    public Tenant get(int index) {
        return new Tenant(quotas[index]);
    }

    @Override
    public int size() {
        return quotas.length;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof TenantList list ? Arrays.equals(quotas, list.quotas) : super.equals(other);
    }

    @Override
    public int hashCode() {
        return super.hashCode();
    }
}

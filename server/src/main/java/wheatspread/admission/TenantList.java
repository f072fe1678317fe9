package wheatspread.admission;

import java.util.AbstractList;
import java.util.Arrays;
import java.util.List;
import java.util.RandomAccess;

/**
 * An immutable list of tenants that takes 8 bytes for each tenant. The quotas are stored in one array, and {@link #get}
 * creates the {@link Tenant}.
 */
public final class TenantList extends AbstractList<Tenant> implements RandomAccess {
    private final double[] quotas;

    private TenantList(double[] quotas) {
        this.quotas = quotas;
    }

    /**
     * Returns the tenants with these quotas, by index.
     *
     * @throws IllegalArgumentException if a quota is negative or not a finite number
     */
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

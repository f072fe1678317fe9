package wheatspread.admission;

/**
 * A tenant.
 *
 * @param quotaPerSecond quota of the tenant over the whole fleet, in requests per second; 0 if it has none
 */
public record Tenant(double quotaPerSecond) {

    /**
     * Checks the value.
     *
     * @throws IllegalArgumentException if the quota is negative or not a finite number
     */
    public Tenant {
        SettingChecks.atLeast("tenant quota", quotaPerSecond, 0);
    }
}

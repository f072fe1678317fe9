package wheatspread.admission;

/**
 * A tenant.
 *
 * @param quotaPerSecond its quota over the fleet, in requests a second; 0 if it has none
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

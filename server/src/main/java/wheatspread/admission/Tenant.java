package wheatspread.admission;

/** A tenant and its told quota, in requests a second over the fleet; 0 where none is told. */
public record Tenant(double quotaPerSecond) {
    public Tenant {
        SettingChecks.atLeast("tenant quota", quotaPerSecond, 0);
    }
}

package wheatspread.admission;

import java.util.List;

/**
 * The settings of admission control.
 *
 * @param coreCount number of processor cores of this server
 * @param serverCount number of servers that share the load; 0 if unknown
 * @param startsCold whether the process starts below its full speed
 * @param preemptionMode what the kernel can do with running work
 * @param cacheTtlMicros time for which the answer of a cacheable read may serve other requests; 0 disables caching
 * @param timerResolutionMicros resolution of times on the wire
 * @param limits load that the server can take without failing
 * @param dependency load that the dependency can take without failing
 * @param clients properties of the clients and the advice that they follow
 * @param classes the request classes, by index; at least one
 * @param tenants the tenants, by index
 */
public record AdmissionSettings(
        int coreCount,
        int serverCount,
        boolean startsCold,
        PreemptionMode preemptionMode,
        long cacheTtlMicros,
        long timerResolutionMicros,
        ServerLimits limits,
        DependencyLimits dependency,
        ClientSettings clients,
        List<RequestClass> classes,
        List<Tenant> tenants) {

    /**
     * Checks the values and copies the lists.
     *
     * @throws IllegalArgumentException if a value is out of bounds; the message names the setting
     */
    public AdmissionSettings {
        SettingChecks.atLeast("cores", coreCount, 1);
        SettingChecks.atLeast("servers", serverCount, 0);
        SettingChecks.present("halt", preemptionMode);
        SettingChecks.atLeast("fresh", cacheTtlMicros, 0);
        SettingChecks.atLeast("resolution", timerResolutionMicros, 0);
        SettingChecks.present("limits", limits);
        SettingChecks.present("below", dependency);
        SettingChecks.present("callers", clients);
        SettingChecks.present("classes", classes);
        SettingChecks.present("tenants", tenants);
        SettingChecks.atLeast("number of classes", classes.size(), 1);
        classes = List.copyOf(classes);
        tenants = TenantList.copyOf(tenants);
    }
}

package wheatspread.admission;

import java.util.List;

/**
 * The settings of admission control.
 *
 * @param cores processor cores of this server
 * @param servers how many servers share the work; 0 if unknown
 * @param cold whether the process starts below its full speed
 * @param preemptionMode what the host can do with running work
 * @param cacheTtlMicros how long the answer of a cacheable read may serve others; 0 disables that
 * @param timerResolutionMicros resolution of times on the wire
 * @param limits what the server survives
 * @param dependency what the dependency survives
 * @param clients what clients do and which advice they follow
 * @param classes the request classes, by index; at least one
 * @param tenants the tenants, by index
 */
public record AdmissionSettings(
        int cores,
        int servers,
        boolean cold,
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
        SettingChecks.atLeast("cores", cores, 1);
        SettingChecks.atLeast("servers", servers, 0);
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

package wheatspread.admission;

import java.util.List;

/** All that is told at start; {@code servers} is how many do this work, 0 where that is not known. */
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

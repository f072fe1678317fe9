package wheatspread.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntToDoubleFunction;
import wheatspread.admission.AdmissionSettings;
import wheatspread.admission.LoadGauges;
import wheatspread.admission.RequestClass;

/**
 * The admission settings with the names of their classes, tenants and gauges, which the settings refer to by index.
 *
 * @param settings the settings of the admission controller
 * @param classes the name of each request class, by index
 * @param tenants the name of each tenant, by index
 * @param gauges the names of the kernel's gauges, in the order in which it reports them
 */
public record DeploymentSettings(
        AdmissionSettings settings, List<String> classes, NameTable tenants, List<String> gauges) {
    public DeploymentSettings {
        classes = List.copyOf(classes);
        gauges = List.copyOf(gauges);
    }

    /** Creates settings from a list of tenant names, which must be distinct. */
    public DeploymentSettings(
            AdmissionSettings settings, List<String> classes, List<String> tenants, List<String> gauges) {
        this(settings, classes, NameTable.copyOf(tenants), gauges);
    }

    /**
     * Returns these settings merged with the classes of {@code next}. An existing class keeps its index and its
     * values, because its idempotency window applies to attempts that ran before the reload. A new class of
     * {@code next} is appended. A class that {@code next} lacks is kept, so that requests in flight, and requests that
     * clients send before they have read the new settings, keep their class. Everything else is unchanged.
     */
    public DeploymentSettings reloadedWith(DeploymentSettings next) {
        List<String> names = new ArrayList<>(classes);
        List<RequestClass> requestClasses = new ArrayList<>(settings.classes());
        for (int index = 0; index < next.classes().size(); index++) {
            String name = next.classes().get(index);
            if (!names.contains(name)) {
                names.add(name);
                requestClasses.add(next.settings().classes().get(index));
            }
        }
        return new DeploymentSettings(settingsWith(settings.startsCold(), requestClasses), names, tenants, gauges);
    }

    /** Returns the admission settings with {@code cold} set to whether the kernel started cold. */
    AdmissionSettings settings(boolean cold) {
        return settingsWith(cold, settings.classes());
    }

    private AdmissionSettings settingsWith(boolean cold, List<RequestClass> requestClasses) {
        return new AdmissionSettings(
                settings.coreCount(),
                settings.serverCount(),
                cold,
                settings.preemptionMode(),
                settings.cacheTtlMicros(),
                settings.timerResolutionMicros(),
                settings.limits(),
                settings.dependency(),
                settings.clients(),
                requestClasses,
                settings.tenants());
    }

    /**
     * Returns the gauges whose values {@code valueAt} gives by index, in the order of {@code names}. A gauge that
     * {@code names} lacks is NaN.
     */
    public static LoadGauges gaugesFrom(List<String> names, IntToDoubleFunction valueAt) {
        Map<String, Double> values = new HashMap<>();
        for (int index = 0; index < names.size(); index++) {
            values.put(names.get(index), valueAt.applyAsDouble(index));
        }
        return new LoadGauges(
                values.getOrDefault("core_use", Double.NaN),
                values.getOrDefault("on_cores", Double.NaN),
                values.getOrDefault("heap_share", Double.NaN),
                values.getOrDefault("links", Double.NaN));
    }
}

package wheatspread.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntToDoubleFunction;
import wheatspread.admission.AdmissionSettings;
import wheatspread.admission.LoadGauges;
import wheatspread.admission.RequestClass;

/** The settings with the names of their classes and tenants, by index, and the order of the gauges. */
public record DeploymentSettings(
        AdmissionSettings settings, List<String> classes, NameTable tenants, List<String> gauges) {
    public DeploymentSettings {
        classes = List.copyOf(classes);
        gauges = List.copyOf(gauges);
    }

    /** The same of tenants' names that stand in any list; they must be distinct. */
    public DeploymentSettings(
            AdmissionSettings settings, List<String> classes, List<String> tenants, List<String> gauges) {
        this(settings, classes, NameTable.copyOf(tenants), gauges);
    }

    /**
     * This site retuned to the classes of {@code next}: a class it had keeps its index and its figures; a
     * class that {@code next} adds comes after all others; a class that
     * {@code next} drops stays, so that requests in hand, and those that proxies send until they have heard,
     * keep their class. All else stays as it is.
     */
    public DeploymentSettings retunedTo(DeploymentSettings next) {
        List<String> names = new ArrayList<>(classes);
        List<RequestClass> kinds = new ArrayList<>(settings.classes());
        for (int i = 0; i < next.classes().size(); i++) {
            int at = names.indexOf(next.classes().get(i));
            if (at < 0) {
                names.add(next.classes().get(i));
                kinds.add(next.settings().classes().get(i));
            }
            // a class that stays keeps its figures: its window holds for the tries that ran before the retune
        }
        return new DeploymentSettings(
                new AdmissionSettings(
                        settings.cores(),
                        settings.servers(),
                        settings.cold(),
                        settings.preemptionMode(),
                        settings.cacheTtlMicros(),
                        settings.timerResolutionMicros(),
                        settings.limits(),
                        settings.dependency(),
                        settings.clients(),
                        kinds,
                        settings.tenants()),
                names,
                tenants,
                gauges);
    }

    /** The settings of a process whose kernel says whether it started cold. */
    AdmissionSettings settings(boolean cold) {
        return new AdmissionSettings(
                settings.cores(),
                settings.servers(),
                cold,
                settings.preemptionMode(),
                settings.cacheTtlMicros(),
                settings.timerResolutionMicros(),
                settings.limits(),
                settings.dependency(),
                settings.clients(),
                settings.classes(),
                settings.tenants());
    }

    /** A row of readings by their names; NaN where one is missing. */
    public static LoadGauges reading(List<String> names, IntToDoubleFunction row) {
        Map<String, Double> values = new HashMap<>();
        for (int i = 0; i < names.size(); i++) {
            values.put(names.get(i), row.applyAsDouble(i));
        }
        return new LoadGauges(
                values.getOrDefault("core_use", Double.NaN),
                values.getOrDefault("on_cores", Double.NaN),
                values.getOrDefault("heap_share", Double.NaN),
                values.getOrDefault("links", Double.NaN));
    }
}

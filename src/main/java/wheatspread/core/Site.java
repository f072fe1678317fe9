package wheatspread.core;

import java.util.List;
import wheatspread.admission.Admission.Settings;

/** The settings with the names of their classes and tenants, by index, and the order of the gauges. */
public record Site(Settings settings, List<String> classes, List<String> tenants, List<String> gauges) {
    public Site {
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        gauges = List.copyOf(gauges);
    }
}

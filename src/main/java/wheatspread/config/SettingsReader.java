package wheatspread.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntToDoubleFunction;
import wheatspread.admission.Admission;
import wheatspread.admission.Admission.Advice;
import wheatspread.admission.Admission.Dependency;
import wheatspread.admission.Admission.Effect;
import wheatspread.admission.Admission.Gauges;
import wheatspread.admission.Admission.Halt;
import wheatspread.admission.Admission.RequestClass;
import wheatspread.admission.Admission.Settings;
import wheatspread.admission.Admission.Tenant;

/** The settings of one instance, the same on the simulator's wire and in a real server's configuration. */
public final class SettingsReader {
    private static final Map<String, Effect> EFFECTS = Map.of("idempotent", Effect.IDEMPOTENT,
        "deduplicated", Effect.KEYED, "at_most_once", Effect.AT_MOST_ONCE);
    private static final Map<String, Dependency> DEPENDENCIES = Map.of("silent", Dependency.NONE,
        "shared", Dependency.SHARED, "tier", Dependency.TIER);
    private static final Map<String, Halt> HALTS = Map.of("silent", Halt.NONE, "abort", Halt.ABORT,
        "suspend", Halt.SUSPEND);
    private static final Map<String, Advice> ADVICE = Map.of("silent", Advice.NONE, "threshold",
        Advice.THRESHOLD, "window", Advice.WINDOW, "share_of", Advice.SHARE);

    private SettingsReader() { }

    public static Settings read(Fields info) {
        Fields family = info.object("FamilyInfo", false);
        Fields rules = info.object("Rules", false);
        Fields ceilings = info.object("Ceilings", true);
        Fields prices = info.object("Tariffs", true);
        List<RequestClass> classes = new ArrayList<>();
        for (Object lane : info.list("Lanes")) {
            int index = classes.size();
            classes.add(requestClass(Fields.of(lane, "Lanes[" + index + "]"), family, index));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (Object party : info.list("Parties")) {
            tenants.add(new Tenant(Fields.of(party, "Parties").number("QuotaPerS", 0)));
        }
        Admission.Limits limits = new Admission.Limits(family.number("MemoryKb"),
            family.number("RunFactor", 1), family.number("KbPerKey", 0), rules.number("TipMultiple"),
            rules.number("ColdFrom", 1), rules.time("Cold", 0), rules.time("AnswerSlack", 0),
            rules.time("DrainGrace", 0));
        Admission.Below below = new Admission.Below(family.word("DependsOn", DEPENDENCIES, Dependency.NONE),
            family.number("CallsOut", 0), family.time("DepWindow", 0), family.time("Linger", 0));
        Admission.Callers callers = new Admission.Callers((int) family.number("Callers", 0),
            family.word("Say", ADVICE, Advice.NONE), family.time("Heeded", 0),
            ceilings.flag("RetryAfter") ? ceilings.time("MaxRetryAfter", 0) : 0,
            family.flag("RegistryFollows"), family.time("Idle", 0), prices.number("Handshake", 0),
            prices.number("Connection", 0));
        return new Settings((int) family.integer("NCores"), (int) info.number("ReplicasOfMe", 0),
            family.flag("Cold"), family.word("Halt", HALTS, Halt.NONE), family.time("Fresh", 0),
            info.time("Resolution", 0), limits, below, callers, classes, tenants);
    }

    private static RequestClass requestClass(Fields lane, Fields family, int index) {
        long deadline = lane.time("Deadline");
        return new RequestClass(lane.time("Aim", deadline), lane.number("AimStretch", 0), deadline,
            lane.word("Effect", EFFECTS), lane.number("Worth", 1), lane.number("LateWorth", 0),
            lane.time("Window", 0), nth(family, "ClassCalls", index) == Boolean.TRUE,
            nth(family, "ClassSkipWorth", index) instanceof Number n ? n.doubleValue() : 0);
    }

    private static Object nth(Fields fields, String name, int index) {
        List<Object> list = fields.list(name);
        return index < list.size() ? list.get(index) : null;
    }

    /** The names of the gauges, in the order in which readings come. */
    public static List<String> gauges(Fields info) {
        List<String> names = new ArrayList<>();
        info.object("FamilyInfo", false).list("Gauges").forEach(g -> names.add(String.valueOf(g)));
        return names;
    }

    /** A row of readings by their names; NaN where one is missing. */
    public static Gauges gauges(List<String> names, IntToDoubleFunction row) {
        Map<String, Double> values = new HashMap<>();
        for (int i = 0; i < names.size(); i++) {
            values.put(names.get(i), row.applyAsDouble(i));
        }
        return new Gauges(values.getOrDefault("core_use", Double.NaN),
            values.getOrDefault("on_cores", Double.NaN), values.getOrDefault("heap_share", Double.NaN),
            values.getOrDefault("links", Double.NaN));
    }

    /** The names listed under a key, as those of classes and tenants are. */
    static List<String> names(Fields info, String list) {
        List<String> names = new ArrayList<>();
        for (Object one : info.list(list)) {
            names.add(Fields.of(one, list + "[" + names.size() + "]").text("Name"));
        }
        return names;
    }
}

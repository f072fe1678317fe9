package wheatspread.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import wheatspread.admission.Admission;
import wheatspread.admission.Admission.Advice;
import wheatspread.admission.Admission.Dependency;
import wheatspread.admission.Admission.Effect;
import wheatspread.admission.Admission.Halt;
import wheatspread.admission.Admission.RequestClass;
import wheatspread.admission.Admission.Settings;

/** The settings of one instance, the same on the simulator's wire and in a real server's configuration. */
public final class SettingsReader {
    private static final Map<String, Effect> EFFECTS =
            Map.of("idempotent", Effect.IDEMPOTENT, "deduplicated", Effect.KEYED, "at_most_once", Effect.AT_MOST_ONCE);
    private static final Map<String, Dependency> DEPENDENCIES =
            Map.of("silent", Dependency.NONE, "shared", Dependency.SHARED, "tier", Dependency.TIER);
    private static final Map<String, Halt> HALTS =
            Map.of("silent", Halt.NONE, "abort", Halt.ABORT, "suspend", Halt.SUSPEND);
    private static final Map<String, Advice> ADVICE = Map.of(
            "silent", Advice.NONE, "threshold", Advice.THRESHOLD, "window", Advice.WINDOW, "share_of", Advice.SHARE);

    /** The key of the list of tenants. */
    static final String TENANTS = "Parties";

    private SettingsReader() {}

    /** The settings in a message, whose tenants need no names. */
    public static Settings read(Fields info) {
        return read(info, info.large(TENANTS, TenantReader.class, () -> new TenantReader(false)));
    }

    /** The settings with tenants that have been read. */
    static Settings read(Fields info, TenantReader tenants) {
        Fields family = info.object("FamilyInfo", false);
        Fields rules = info.object("Rules", false);
        Fields ceilings = info.object("Ceilings", true);
        Fields prices = info.object("Tariffs", true);
        List<RequestClass> classes = new ArrayList<>();
        for (Fields lane : info.objects("Lanes")) {
            classes.add(requestClass(lane, family, classes.size()));
        }
        Admission.Limits limits = new Admission.Limits(
                family.number("MemoryKb"),
                family.number("RunFactor", 1),
                family.number("KbPerKey", 0),
                rules.number("TipMultiple"),
                rules.number("ColdFrom", 1),
                rules.time("Cold", 0),
                rules.time("AnswerSlack", 0),
                rules.time("DrainGrace", 0));
        Admission.Below below = new Admission.Below(
                family.word("DependsOn", DEPENDENCIES, Dependency.NONE),
                family.number("CallsOut", 0),
                family.time("DepWindow", 0),
                family.time("Linger", 0));
        Admission.Callers callers = new Admission.Callers(
                (int) family.number("Callers", 0),
                family.word("Say", ADVICE, Advice.NONE),
                family.time("Heeded", 0),
                ceilings.flag("RetryAfter") ? ceilings.time("MaxRetryAfter", 0) : 0,
                family.flag("RegistryFollows"),
                family.time("Idle", 0),
                prices.number("Handshake", 0),
                prices.number("Connection", 0));
        return new Settings(
                (int) family.integer("NCores"),
                (int) info.number("ReplicasOfMe", 0),
                family.flag("Cold"),
                family.word("Halt", HALTS, Halt.NONE),
                family.time("Fresh", 0),
                info.time("Resolution", 0),
                limits,
                below,
                callers,
                classes,
                tenants.tenants());
    }

    private static RequestClass requestClass(Fields lane, Fields family, int index) {
        long deadline = lane.time("Deadline");
        return new RequestClass(
                lane.time("Aim", deadline),
                lane.number("AimStretch", 0),
                deadline,
                lane.word("Effect", EFFECTS),
                lane.number("Worth", 1),
                lane.number("LateWorth", 0),
                lane.time("Window", 0),
                nth(family, "ClassCalls", index) == Boolean.TRUE,
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

    /** The names listed under a key, as those of classes are. */
    static List<String> names(Fields info, String list) {
        return info.objects(list).stream().map(one -> one.text("Name")).toList();
    }
}

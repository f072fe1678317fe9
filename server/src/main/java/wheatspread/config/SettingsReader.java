package wheatspread.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import wheatspread.admission.AdmissionSettings;
import wheatspread.admission.ClientSettings;
import wheatspread.admission.DependencyKind;
import wheatspread.admission.DependencyLimits;
import wheatspread.admission.Idempotency;
import wheatspread.admission.LoadFeedbackMode;
import wheatspread.admission.PreemptionMode;
import wheatspread.admission.RequestClass;
import wheatspread.admission.ServerLimits;

/** The settings of one instance, the same on the simulator's wire and in a real server's configuration. */
public final class SettingsReader {
    private static final Map<String, Idempotency> EFFECTS = Map.of(
            "idempotent",
            Idempotency.IDEMPOTENT,
            "deduplicated",
            Idempotency.IDEMPOTENCY_KEY,
            "at_most_once",
            Idempotency.AT_MOST_ONCE);
    private static final Map<String, DependencyKind> DEPENDENCIES =
            Map.of("silent", DependencyKind.NONE, "shared", DependencyKind.SHARED, "tier", DependencyKind.TIER);
    private static final Map<String, PreemptionMode> HALTS =
            Map.of("silent", PreemptionMode.NONE, "abort", PreemptionMode.ABORT, "suspend", PreemptionMode.SUSPEND);
    private static final Map<String, LoadFeedbackMode> ADVICE = Map.of(
            "silent",
            LoadFeedbackMode.NONE,
            "threshold",
            LoadFeedbackMode.THRESHOLD,
            "window",
            LoadFeedbackMode.WINDOW,
            "share_of",
            LoadFeedbackMode.SHARE);

    /** The key of the list of tenants. */
    static final String TENANTS = "Parties";

    private SettingsReader() {}

    /** The settings in a message, whose tenants need no names. */
    public static AdmissionSettings read(JsonFields info) {
        return read(info, info.large(TENANTS, TenantReader.class, () -> new TenantReader(false)));
    }

    /** The settings with tenants that have been read. */
    static AdmissionSettings read(JsonFields info, TenantReader tenants) {
        JsonFields family = info.object("FamilyInfo", false);
        JsonFields rules = info.object("Rules", false);
        JsonFields ceilings = info.object("Ceilings", true);
        JsonFields prices = info.object("Tariffs", true);
        List<RequestClass> classes = new ArrayList<>();
        for (JsonFields lane : info.objects("Lanes")) {
            classes.add(requestClass(lane, family, classes.size()));
        }
        ServerLimits limits = new ServerLimits(
                family.number("MemoryKb"),
                family.number("RunFactor", 1),
                family.number("KbPerKey", 0),
                rules.number("TipMultiple"),
                rules.number("ColdFrom", 1),
                rules.time("Cold", 0),
                rules.time("AnswerSlack", 0),
                rules.time("DrainGrace", 0));
        DependencyLimits below = new DependencyLimits(
                family.word("DependsOn", DEPENDENCIES, DependencyKind.NONE),
                family.number("CallsOut", 0),
                family.time("DepWindow", 0),
                family.time("Linger", 0));
        ClientSettings callers = new ClientSettings(
                (int) family.number("Callers", 0),
                family.word("Say", ADVICE, LoadFeedbackMode.NONE),
                family.time("Heeded", 0),
                ceilings.flag("RetryAfter") ? ceilings.time("MaxRetryAfter", 0) : 0,
                family.flag("RegistryFollows"),
                family.time("Idle", 0),
                prices.number("Handshake", 0),
                prices.number("Connection", 0));
        return new AdmissionSettings(
                (int) family.integer("NCores"),
                (int) info.number("ReplicasOfMe", 0),
                family.flag("Cold"),
                family.word("Halt", HALTS, PreemptionMode.NONE),
                family.time("Fresh", 0),
                info.time("Resolution", 0),
                limits,
                below,
                callers,
                classes,
                tenants.tenants());
    }

    private static RequestClass requestClass(JsonFields lane, JsonFields family, int index) {
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

    private static Object nth(JsonFields fields, String name, int index) {
        List<Object> list = fields.list(name);
        return index < list.size() ? list.get(index) : null;
    }

    /** The names of the gauges, in the order in which readings come. */
    public static List<String> gauges(JsonFields info) {
        List<String> names = new ArrayList<>();
        info.object("FamilyInfo", false).list("Gauges").forEach(g -> names.add(String.valueOf(g)));
        return names;
    }

    /** The names listed under a key, as those of classes are. */
    static List<String> names(JsonFields info, String list) {
        return info.objects(list).stream().map(one -> one.text("Name")).toList();
    }
}

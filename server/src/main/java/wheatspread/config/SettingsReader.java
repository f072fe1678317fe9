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

/** Reads the admission settings, which have the same form in the simulator's messages and in a server's file. */
public final class SettingsReader {
    private static final Map<String, Idempotency> IDEMPOTENCY = Map.of(
            "idempotent",
            Idempotency.IDEMPOTENT,
            "deduplicated",
            Idempotency.IDEMPOTENCY_KEY,
            "at_most_once",
            Idempotency.AT_MOST_ONCE);
    private static final Map<String, DependencyKind> DEPENDENCY_KINDS =
            Map.of("silent", DependencyKind.NONE, "shared", DependencyKind.SHARED, "tier", DependencyKind.TIER);
    private static final Map<String, PreemptionMode> PREEMPTION_MODES =
            Map.of("silent", PreemptionMode.NONE, "abort", PreemptionMode.ABORT, "suspend", PreemptionMode.SUSPEND);
    private static final Map<String, LoadFeedbackMode> LOAD_FEEDBACK_MODES = Map.of(
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

    /** Reads the settings in a message, where tenants have no names. */
    public static AdmissionSettings read(JsonFields info) {
        return read(info, info.largeList(TENANTS, TenantReader.class, () -> new TenantReader(false)));
    }

    /** Reads the settings except for the tenants, which have been read already. */
    static AdmissionSettings read(JsonFields info, TenantReader tenants) {
        JsonFields family = info.object("FamilyInfo", false);
        JsonFields rules = info.object("Rules", false);
        JsonFields ceilings = info.object("Ceilings", true);
        JsonFields costs = info.object("Tariffs", true);
        List<RequestClass> classes = new ArrayList<>();
        for (JsonFields classFields : info.objects("Lanes")) {
            classes.add(requestClass(classFields, family, classes.size()));
        }
        ServerLimits limits = new ServerLimits(
                family.number("MemoryKb"),
                family.number("RunFactor", 1),
                family.number("KbPerKey", 0),
                rules.number("TipMultiple"),
                rules.number("ColdFrom", 1),
                rules.millisAsMicros("Cold", 0),
                rules.millisAsMicros("AnswerSlack", 0),
                rules.millisAsMicros("DrainGrace", 0));
        DependencyLimits dependency = new DependencyLimits(
                family.oneOf("DependsOn", DEPENDENCY_KINDS, DependencyKind.NONE),
                family.number("CallsOut", 0),
                family.millisAsMicros("DepWindow", 0),
                family.millisAsMicros("Linger", 0));
        ClientSettings clients = new ClientSettings(
                (int) family.number("Callers", 0),
                family.oneOf("Say", LOAD_FEEDBACK_MODES, LoadFeedbackMode.NONE),
                family.millisAsMicros("Heeded", 0),
                ceilings.flag("RetryAfter") ? ceilings.millisAsMicros("MaxRetryAfter", 0) : 0,
                family.flag("RegistryFollows"),
                family.millisAsMicros("Idle", 0),
                costs.number("Handshake", 0),
                costs.number("Connection", 0));
        return new AdmissionSettings(
                (int) family.integer("NCores"),
                (int) info.number("ReplicasOfMe", 0),
                family.flag("Cold"),
                family.oneOf("Halt", PREEMPTION_MODES, PreemptionMode.NONE),
                family.millisAsMicros("Fresh", 0),
                info.millisAsMicros("Resolution", 0),
                limits,
                dependency,
                clients,
                classes,
                tenants.tenants());
    }

    private static RequestClass requestClass(JsonFields classFields, JsonFields family, int index) {
        long deadlineMicros = classFields.millisAsMicros("Deadline");
        return new RequestClass(
                classFields.millisAsMicros("Aim", deadlineMicros),
                classFields.number("AimStretch", 0),
                deadlineMicros,
                classFields.oneOf("Effect", IDEMPOTENCY),
                classFields.number("Worth", 1),
                classFields.number("LateWorth", 0),
                classFields.millisAsMicros("Window", 0),
                elementOrNull(family, "ClassCalls", index) == Boolean.TRUE,
                elementOrNull(family, "ClassSkipWorth", index) instanceof Number n ? n.doubleValue() : 0);
    }

    private static Object elementOrNull(JsonFields fields, String name, int index) {
        List<Object> list = fields.list(name);
        return index < list.size() ? list.get(index) : null;
    }

    /** Returns the names of the gauges, in the order of their readings. */
    public static List<String> gauges(JsonFields info) {
        List<String> names = new ArrayList<>();
        info.object("FamilyInfo", false).list("Gauges").forEach(gauge -> names.add(String.valueOf(gauge)));
        return names;
    }

    /** Returns the names of the objects in a list, such as the request classes. */
    static List<String> names(JsonFields info, String key) {
        return info.objects(key).stream().map(element -> element.text("Name")).toList();
    }
}

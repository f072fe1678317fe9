package wheatspread.lab.deployments;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.json.JSONArray;
import org.json.JSONObject;
import wheatspread.admission.Idempotency;

/**
 * A random deployment: the configuration fields that may differ between sites or be absent, and the way in which the
 * clients use them. Each field is chosen by a small number, of which 0 selects the simplest value, so that
 * property-based tests shrink a failure to the choices that cause it.
 */
public final class Deployment {
    /** Number of choices. */
    public static final int CHOICES = 40;
    /** Exclusive upper bound of the number of a choice. */
    public static final int CHOICE_BOUND = 60;

    /** Keys of {@code FamilyInfo} that a configuration may lack. */
    private static final List<String> OPTIONAL_KEYS = List.of(
            "Callers",
            "ClassSkipWorth",
            "DepWindow",
            "Fresh",
            "Heeded",
            "Idle",
            "KbPerKey",
            "Linger",
            "RegistryFollows",
            "DeepChecks",
            "HangupSeen");
    /** Index of the choice whether the first of {@link #OPTIONAL_KEYS} is absent. */
    private static final int FIRST_OPTIONAL_KEY_CHOICE = 26;

    /** A request class; times are in milliseconds. */
    record RequestClass(
            String name,
            Idempotency idempotency,
            long targetMillis,
            long deadlineMillis,
            long windowMillis,
            boolean callsDependency,
            double skipValue) {}

    final List<RequestClass> classes = new ArrayList<>();
    final List<String> tenants = new ArrayList<>();
    final int cores;
    /** Preemption mode, as the setting writes it; null if the setting is absent. */
    final String preemption;
    /** Load feedback mode, as the setting writes it; null if the setting is absent. */
    final String loadFeedback;
    /** Whether runs make dependency calls. */
    final boolean callsDependency;
    /** Whether requests carry the remaining time until their deadline. */
    final boolean sendsLimit;
    /** Whether requests carry an estimate of their processor time. */
    final boolean sendsCpuHint;
    /** Whether idempotent requests name their item. */
    final boolean sendsItem;
    /** Whether clients mark retries. */
    final boolean marksRetries;
    /** Whether clients cancel requests that they no longer wait for. */
    final boolean cancelsRequests;
    /** Whether the settings and requests contain the optional fields about replicas, quotas and balancers. */
    final boolean hasOptionalFields;
    /** Whether the kernel starts cold. */
    final boolean startsCold;
    /** Speed of a cold kernel at its start, as a share of the full speed. */
    final double coldSpeed;

    final long coldMillis;
    /** Number of runs per core above which the server falls over. */
    final double overloadMultiple;

    final double memoryKb;
    /** Memory of a running request, as a multiple of the memory of a queued one. */
    final double runFactor;
    /** How long a result may be reused for the same item; 0 if not at all. */
    final long freshMillis;

    final long drainGraceMillis;
    /** Largest retry-after; 0 if the server sends none. */
    final long maxRetryAfterMillis;

    final List<String> gauges;
    private final int[] choices;

    /** Each number selects the value of a field, modulo the number of its values; {@link #CHOICES} numbers. */
    public Deployment(int[] choices) {
        this.choices = choices.clone();
        cores = pick(0, 4, 1, 2, 16);
        callsDependency = pick(1, true, false);
        int classCount = pick(2, 3, 1, 2, 30);
        Idempotency[] idempotencies = pick(
                3,
                new Idempotency[] {Idempotency.IDEMPOTENT, Idempotency.IDEMPOTENCY_KEY},
                new Idempotency[] {Idempotency.IDEMPOTENT},
                new Idempotency[] {Idempotency.IDEMPOTENCY_KEY},
                new Idempotency[] {Idempotency.AT_MOST_ONCE},
                new Idempotency[] {Idempotency.IDEMPOTENT, Idempotency.AT_MOST_ONCE, Idempotency.IDEMPOTENCY_KEY});
        double skipValue = isAbsent("ClassSkipWorth") ? 0 : pick(5, 0.4, 0.0);
        for (int i = 0; i < classCount; i++) {
            long deadlineMillis = pick(4, 3_000, 1_500, 8_000) + 100 * (i % 5);
            Idempotency idempotency = idempotencies[i % idempotencies.length];
            classes.add(new RequestClass(
                    "kind-" + i,
                    idempotency,
                    pick(6, deadlineMillis / 2, deadlineMillis),
                    deadlineMillis,
                    pick(7, 10_000, 2_000, 40_000),
                    callsDependency && i % 2 == 0,
                    idempotency == Idempotency.IDEMPOTENT && i % 3 == 0 ? skipValue : 0));
        }
        int tenantCount = pick(8, 2, 0, 1, 12);
        for (int i = 0; i < tenantCount; i++) {
            tenants.add("team-" + i);
        }
        preemption = pick(9, "suspend", "abort", "silent", null);
        loadFeedback = pick(10, "window", "threshold", "share_of", "silent", null);
        sendsLimit = pick(11, true, false);
        sendsCpuHint = pick(12, true, false);
        sendsItem = pick(13, true, false);
        marksRetries = pick(14, false, true);
        cancelsRequests = !isAbsent("HangupSeen") && pick(15, true, false);
        hasOptionalFields = pick(16, true, false);
        startsCold = pick(17, false, true);
        coldSpeed = pick(18, 0.2, 0.5, 1.0);
        coldMillis = pick(19, 4_000, 0, 16_000);
        overloadMultiple = pick(20, 6.0, 3.0, 12.0);
        runFactor = pick(21, 8.0, 4.0, 16.0);
        memoryKb = cores * pick(22, 20.0, 9.0) * 30 * runFactor;
        freshMillis = isAbsent("Fresh") ? 0 : pick(23, 0, 3_000);
        drainGraceMillis = pick(24, 2_000, 0, 2_500);
        maxRetryAfterMillis = pick(25, 1_000, 0);
        gauges = pick(
                37,
                List.of("core_use", "on_cores", "heap_share", "links"),
                List.of("links", "on_cores", "later_gauge", "heap_share", "core_use"),
                List.of("heap_share"),
                List.<String>of());
    }

    /** Draws a deployment with a random generator of this seed. */
    public static Deployment drawn(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        return new Deployment(random.ints(CHOICES, 0, CHOICE_BOUND).toArray());
    }

    @SafeVarargs
    private <T> T pick(int choice, T... values) {
        return values[choices[choice] % values.length];
    }

    /** Whether a key of {@code FamilyInfo} is left out. */
    private boolean isAbsent(String key) {
        return choices[FIRST_OPTIONAL_KEY_CHOICE + OPTIONAL_KEYS.indexOf(key)] % 4 == 3;
    }

    /** Returns the configuration of a server of this deployment, for the given service addresses. */
    JSONObject config(String kernel, String records, String announce) {
        JSONObject config = new JSONObject()
                .put("name", "d1")
                .put("listen", "127.0.0.1:0")
                .put("kernel", kernel)
                .put("settings", settings())
                .put("a_later_key", Map.of("x", 1));
        if (callsDependency) {
            config.put("records", records);
        }
        if (pick(38, true, false)) {
            config.put("announce", announce);
        }
        if (pick(39, true, false)) {
            config.put("seed", "5eed")
                    .put("stop_ms", 4_000)
                    .put(
                            "limits",
                            new JSONObject()
                                    .put("cores", 1.0)
                                    .put("memory_mb", 192)
                                    .put("sockets", 256));
        }
        return config;
    }

    private JSONObject settings() {
        JSONObject settings = new JSONObject()
                .put("FamilyInfo", familyInfo())
                .put("Lanes", classSettings())
                .put(
                        "Rules",
                        new JSONObject()
                                .put("AnswerSlack", 60.0)
                                .put("Cold", (double) coldMillis)
                                .put("ColdFrom", coldSpeed)
                                .put("DrainGrace", (double) drainGraceMillis)
                                .put("OverloadFor", 2_000.0)
                                .put("TipMultiple", overloadMultiple));
        if (!tenants.isEmpty()) {
            JSONArray tenantArray = new JSONArray();
            tenants.forEach(name -> tenantArray.put(
                    new JSONObject().put("Name", name).putOpt("QuotaPerS", hasOptionalFields ? 40.0 : null)));
            settings.put("Parties", tenantArray);
        }
        if (maxRetryAfterMillis > 0) {
            settings.put("Ceilings", new JSONObject().put("RetryAfter", true).put("MaxRetryAfter", (double)
                            maxRetryAfterMillis));
        }
        if (hasOptionalFields) {
            settings.put("ReplicasOfMe", 3)
                    .put("Resolution", 4.0)
                    .put("Tariffs", new JSONObject().put("Handshake", 0.1).put("Connection", 0.1));
        }
        return settings;
    }

    private JSONArray classSettings() {
        JSONArray settings = new JSONArray();
        for (RequestClass requestClass : classes) {
            JSONObject classSetting = new JSONObject()
                    .put("Name", requestClass.name)
                    .put("Deadline", (double) requestClass.deadlineMillis)
                    .put(
                            "Effect",
                            requestClass.idempotency == Idempotency.IDEMPOTENT
                                    ? "idempotent"
                                    : requestClass.idempotency == Idempotency.IDEMPOTENCY_KEY
                                            ? "deduplicated"
                                            : "at_most_once");
            if (requestClass.targetMillis < requestClass.deadlineMillis) {
                classSetting
                        .put("Aim", (double) requestClass.targetMillis)
                        .put("Worth", 2.0)
                        .put("LateWorth", 0.0);
            }
            if (requestClass.idempotency == Idempotency.IDEMPOTENCY_KEY) {
                classSetting.put("Window", (double) requestClass.windowMillis);
            }
            settings.put(classSetting);
        }
        return settings;
    }

    private JSONObject familyInfo() {
        JSONArray classCalls = new JSONArray();
        JSONArray skipValues = new JSONArray();
        for (RequestClass requestClass : classes) {
            classCalls.put(requestClass.callsDependency);
            skipValues.put(requestClass.skipValue);
        }
        JSONObject family = new JSONObject()
                .put("NCores", cores)
                .put("MemoryKb", memoryKb)
                .put("RunFactor", runFactor)
                .put("Cold", startsCold)
                .put("Gauges", gauges)
                .put("Callers", 3)
                .put("DepWindow", 5_000.0)
                .put("Heeded", 1_000.0)
                .put("Idle", 30_000.0)
                .put("KbPerKey", 4.0)
                .put("Linger", 200.0)
                .put("RegistryFollows", true)
                .put("DeepChecks", false)
                .put("HangupSeen", cancelsRequests)
                .put("Fresh", (double) freshMillis)
                .put("ClassSkipWorth", skipValues)
                .put("PassesDeadline", sendsLimit)
                .put("ALaterKey", List.of(1));
        family.putOpt("Halt", preemption).putOpt("Say", loadFeedback);
        if (callsDependency) {
            family.put("DependsOn", "shared").put("CallsOut", 8.0).put("ClassCalls", classCalls);
        } else if (choices[1] % 4 == 1) {
            family.put("DependsOn", "silent").put("CallsOut", 0.0).put("ClassCalls", classCalls);
        }
        OPTIONAL_KEYS.stream().filter(this::isAbsent).forEach(family::remove);
        return family;
    }

    /** Whether answers carry load feedback. */
    boolean sendsLoadFeedback() {
        return loadFeedback != null && !loadFeedback.equals("silent");
    }

    @Override
    public String toString() {
        return "cores " + cores + ", classes " + classes.size() + " as "
                + classes.stream().limit(3).toList()
                + ", tenants " + tenants.size() + ", halt " + preemption + ", say " + loadFeedback + ", calls "
                + callsDependency
                + ", limit " + sendsLimit + ", hint " + sendsCpuHint + ", item " + sendsItem + ", second "
                + marksRetries
                + ", gone " + cancelsRequests + ", cold " + startsCold + " from " + coldSpeed + " for " + coldMillis
                + ", tip "
                + overloadMultiple + ", memory " + memoryKb + ", fresh " + freshMillis + ", grace " + drainGraceMillis
                + ", retry-after "
                + maxRetryAfterMillis + ", gauges " + gauges + ", absent "
                + OPTIONAL_KEYS.stream().filter(this::isAbsent).toList();
    }
}

package wheatspread.lab.deployments;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.json.JSONArray;
import org.json.JSONObject;
import wheatspread.admission.Idempotency;

/**
 * A deployment drawn over all fields that may differ from one site to the next, or be absent. It is made of
 * small numbers, one a choice; 0 is the plain value of each, so that a fault shrinks to the choices it needs.
 */
public final class Deployment {
    /** How many choices there are. */
    public static final int CHOICES = 40;
    /** The choices' numbers are under this. */
    public static final int MOST = 60;

    private static final List<String> MAY_BE_ABSENT = List.of(
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
    private static final int FIRST_ABSENT = 26;

    /** One class of requests; times in milliseconds. */
    record Kind(
            String name, Idempotency effect, long aim, long deadline, long window, boolean calls, double skipWorth) {}

    final List<Kind> kinds = new ArrayList<>();
    final List<String> tenants = new ArrayList<>();
    final int cores;
    final String halt;
    final String say;
    final boolean calls;
    final boolean limited;
    final boolean hinted;
    final boolean items;
    final boolean marked;
    final boolean tellsGone;
    final boolean named;
    final boolean cold;
    final double coldFrom;
    final long coldFor;
    final double tip;
    final double memoryKb;
    final double runFactor;
    final long fresh;
    final long grace;
    final long mostStayAway;
    final List<String> gauges;
    private final int[] chosen;

    /** A deployment by the choice made for each field; the numbers are taken modulo the choices there are. */
    public Deployment(int[] chosen) {
        this.chosen = chosen.clone();
        cores = pick(0, 4, 1, 2, 16);
        calls = pick(1, true, false);
        int classes = pick(2, 3, 1, 2, 30);
        Idempotency[] effects = pick(
                3,
                new Idempotency[] {Idempotency.IDEMPOTENT, Idempotency.IDEMPOTENCY_KEY},
                new Idempotency[] {Idempotency.IDEMPOTENT},
                new Idempotency[] {Idempotency.IDEMPOTENCY_KEY},
                new Idempotency[] {Idempotency.AT_MOST_ONCE},
                new Idempotency[] {Idempotency.IDEMPOTENT, Idempotency.AT_MOST_ONCE, Idempotency.IDEMPOTENCY_KEY});
        double skip = absent("ClassSkipWorth") ? 0 : pick(5, 0.4, 0.0);
        for (int i = 0; i < classes; i++) {
            long deadline = pick(4, 3_000, 1_500, 8_000) + 100 * (i % 5);
            Idempotency effect = effects[i % effects.length];
            kinds.add(new Kind(
                    "kind-" + i,
                    effect,
                    pick(6, deadline / 2, deadline),
                    deadline,
                    pick(7, 10_000, 2_000, 40_000),
                    calls && i % 2 == 0,
                    effect == Idempotency.IDEMPOTENT && i % 3 == 0 ? skip : 0));
        }
        int parties = pick(8, 2, 0, 1, 12);
        for (int i = 0; i < parties; i++) {
            tenants.add("team-" + i);
        }
        halt = pick(9, "suspend", "abort", "silent", null);
        say = pick(10, "window", "threshold", "share_of", "silent", null);
        limited = pick(11, true, false);
        hinted = pick(12, true, false);
        items = pick(13, true, false);
        marked = pick(14, false, true);
        tellsGone = !absent("HangupSeen") && pick(15, true, false);
        named = pick(16, true, false);
        cold = pick(17, false, true);
        coldFrom = pick(18, 0.2, 0.5, 1.0);
        coldFor = pick(19, 4_000, 0, 16_000);
        tip = pick(20, 6.0, 3.0, 12.0);
        runFactor = pick(21, 8.0, 4.0, 16.0);
        memoryKb = cores * pick(22, 20.0, 9.0) * 30 * runFactor;
        fresh = absent("Fresh") ? 0 : pick(23, 0, 3_000);
        grace = pick(24, 2_000, 0, 2_500);
        mostStayAway = pick(25, 1_000, 0);
        gauges = pick(
                37,
                List.of("core_use", "on_cores", "heap_share", "links"),
                List.of("links", "on_cores", "later_gauge", "heap_share", "core_use"),
                List.of("heap_share"),
                List.<String>of());
    }

    /** Drawn from a seed. */
    public static Deployment drawn(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        return new Deployment(random.ints(CHOICES, 0, MOST).toArray());
    }

    @SafeVarargs
    private <T> T pick(int choice, T... values) {
        return values[chosen[choice] % values.length];
    }

    /** Whether a key of {@code FamilyInfo} is left out. */
    private boolean absent(String key) {
        return chosen[FIRST_ABSENT + MAY_BE_ABSENT.indexOf(key)] % 4 == 3;
    }

    /** What a server of it is told. */
    JSONObject config(String kernel, String records, String announce) {
        JSONObject config = new JSONObject()
                .put("name", "d1")
                .put("listen", "127.0.0.1:0")
                .put("kernel", kernel)
                .put("settings", settings())
                .put("a_later_key", Map.of("x", 1));
        if (calls) {
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
                .put("FamilyInfo", family())
                .put("Lanes", lanes())
                .put(
                        "Rules",
                        new JSONObject()
                                .put("AnswerSlack", 60.0)
                                .put("Cold", (double) coldFor)
                                .put("ColdFrom", coldFrom)
                                .put("DrainGrace", (double) grace)
                                .put("OverloadFor", 2_000.0)
                                .put("TipMultiple", tip));
        if (!tenants.isEmpty()) {
            JSONArray parties = new JSONArray();
            tenants.forEach(
                    name -> parties.put(new JSONObject().put("Name", name).putOpt("QuotaPerS", named ? 40.0 : null)));
            settings.put("Parties", parties);
        }
        if (mostStayAway > 0) {
            settings.put(
                    "Ceilings", new JSONObject().put("RetryAfter", true).put("MaxRetryAfter", (double) mostStayAway));
        }
        if (named) {
            settings.put("ReplicasOfMe", 3)
                    .put("Resolution", 4.0)
                    .put("Tariffs", new JSONObject().put("Handshake", 0.1).put("Connection", 0.1));
        }
        return settings;
    }

    private JSONArray lanes() {
        JSONArray lanes = new JSONArray();
        for (Kind kind : kinds) {
            JSONObject lane = new JSONObject()
                    .put("Name", kind.name)
                    .put("Deadline", (double) kind.deadline)
                    .put(
                            "Effect",
                            kind.effect == Idempotency.IDEMPOTENT
                                    ? "idempotent"
                                    : kind.effect == Idempotency.IDEMPOTENCY_KEY ? "deduplicated" : "at_most_once");
            if (kind.aim < kind.deadline) {
                lane.put("Aim", (double) kind.aim).put("Worth", 2.0).put("LateWorth", 0.0);
            }
            if (kind.effect == Idempotency.IDEMPOTENCY_KEY) {
                lane.put("Window", (double) kind.window);
            }
            lanes.put(lane);
        }
        return lanes;
    }

    private JSONObject family() {
        JSONArray may = new JSONArray();
        JSONArray skips = new JSONArray();
        for (Kind kind : kinds) {
            may.put(kind.calls);
            skips.put(kind.skipWorth);
        }
        JSONObject family = new JSONObject()
                .put("NCores", cores)
                .put("MemoryKb", memoryKb)
                .put("RunFactor", runFactor)
                .put("Cold", cold)
                .put("Gauges", gauges)
                .put("Callers", 3)
                .put("DepWindow", 5_000.0)
                .put("Heeded", 1_000.0)
                .put("Idle", 30_000.0)
                .put("KbPerKey", 4.0)
                .put("Linger", 200.0)
                .put("RegistryFollows", true)
                .put("DeepChecks", false)
                .put("HangupSeen", tellsGone)
                .put("Fresh", (double) fresh)
                .put("ClassSkipWorth", skips)
                .put("PassesDeadline", limited)
                .put("ALaterKey", List.of(1));
        family.putOpt("Halt", halt).putOpt("Say", say);
        if (calls) {
            family.put("DependsOn", "shared").put("CallsOut", 8.0).put("ClassCalls", may);
        } else if (chosen[1] % 4 == 1) {
            family.put("DependsOn", "silent").put("CallsOut", 0.0).put("ClassCalls", may);
        }
        MAY_BE_ABSENT.stream().filter(this::absent).forEach(family::remove);
        return family;
    }

    /** Whether callers hear when to come back, and a free value. */
    boolean advises() {
        return say != null && !say.equals("silent");
    }

    @Override
    public String toString() {
        return "cores " + cores + ", kinds " + kinds.size() + " as "
                + kinds.stream().limit(3).toList()
                + ", tenants " + tenants.size() + ", halt " + halt + ", say " + say + ", calls " + calls
                + ", limit " + limited + ", hint " + hinted + ", item " + items + ", second " + marked
                + ", gone " + tellsGone + ", cold " + cold + " from " + coldFrom + " for " + coldFor + ", tip "
                + tip + ", memory " + memoryKb + ", fresh " + fresh + ", grace " + grace + ", stay away "
                + mostStayAway + ", gauges " + gauges + ", absent "
                + MAY_BE_ABSENT.stream().filter(this::absent).toList();
    }
}

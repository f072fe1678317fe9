package wheatspread.lab;

import java.util.List;
import java.util.Random;
import org.json.JSONArray;
import org.json.JSONObject;
import wheatspread.lab.standins.StandInServices;

/** A fictitious site of the size of the one in service: its configuration and the requests of its clients. */
public final class Sites {
    /** A request class with its share of the requests; {@code keyed} requests carry an idempotency key. */
    public record Kind(
            String name, double share, int latencyObjectiveMillis, int deadlineMillis, double weight, boolean keyed) {}

    public static final List<Kind> KINDS = List.of(
            new Kind("recipe-page", 0.36, 3_600, 11_000, 1, false),
            new Kind("search", 0.29, 2_700, 8_900, 2, false),
            new Kind("ingredients", 0.23, 2_800, 7_100, 2, false),
            new Kind("save-plan", 0.12, 4_300, 14_000, 5, true));
    public static final List<String> TENANTS = List.of("main-site", "barangay-kitchens", "school-feeding");
    private static final double[] TENANT_SHARES = {0.51, 0.35, 0.14};
    private static final double TOTAL_QUOTA_PER_S = 400;

    /** The format of a generated tenant's name, from its number. */
    private static final String TENANT_NAME_FORMAT = "kitchen-%06d";

    private Sites() {}

    /** Returns the name of a generated tenant by its number from 0. */
    public static String tenantName(int number) {
        return String.format(TENANT_NAME_FORMAT, number);
    }

    /**
     * Generates tenants as a configuration lists them. Their quotas add up to that of the default site and are
     * proportional to the reciprocals of their ranks, as sizes of customers often are.
     */
    public static JSONArray tenants(int count) {
        double sum = 0;
        for (int rank = 1; rank <= count; rank++) {
            sum += 1.0 / rank;
        }
        JSONArray tenants = new JSONArray(count);
        for (int number = 0; number < count; number++) {
            double share = 1 / ((number + 1) * sum);
            tenants.put(new JSONObject()
                    .put("Name", tenantName(number))
                    .put("QuotaPerS", rounded(TOTAL_QUOTA_PER_S * share))
                    .put("Share", rounded(share)));
        }
        return tenants;
    }

    /** Rounds to six decimal places, as configurations do; returns 0.000001 or more. */
    private static double rounded(double value) {
        return Math.max(1, Math.round(value * 1e6)) / 1e6;
    }

    /** Returns the configuration of one server with a limit on its sockets. */
    public static JSONObject config(StandInServices standIns, int sockets) {
        return config(standIns.kernel(), standIns.records(), standIns.announce(), sockets, 12);
    }

    /**
     * Changes a configuration to the other kind of deployment in service, and returns it. Its runs make no dependency
     * calls, and its clients send no deadline, mark retries, and follow the load feedback level.
     */
    public static JSONObject withoutCalls(JSONObject config) {
        config.remove("records");
        JSONObject family = config.getJSONObject("settings").getJSONObject("FamilyInfo");
        List.of("ClassCalls", "ClassSkipWorth", "CallsOut", "DepWindow", "Linger")
                .forEach(family::remove);
        family.put("DependsOn", "silent").put("PassesDeadline", false).put("Say", "threshold");
        return config;
    }

    /** Returns the configuration of one server of a fleet, with the addresses of the services that it connects to. */
    public static JSONObject config(String kernel, String records, String announce, int sockets, int servers) {
        JSONObject settings = new JSONObject()
                .put("ReplicasOfMe", servers)
                .put("Resolution", 4.0)
                .put("Ceilings", new JSONObject().put("MaxRetryAfter", 4_000.0).put("RetryAfter", true))
                .put("FamilyInfo", family())
                .put("Lanes", lanes())
                .put("Parties", tenants())
                .put(
                        "Rules",
                        new JSONObject()
                                .put("AnswerSlack", 60.0)
                                .put("Cold", 16_000.0)
                                .put("ColdFrom", 0.2)
                                .put("DrainGrace", 2_500.0)
                                .put("OverloadFor", 2_000.0)
                                .put("TipMultiple", 6.0));
        return new JSONObject()
                .put("name", "lab")
                .put("listen", "127.0.0.1:0")
                .put("kernel", kernel)
                .put("records", records)
                .put("announce", announce)
                .put("seed", "1ab")
                .put("stop_ms", 4_000)
                .put(
                        "limits",
                        new JSONObject().put("cores", 1.0).put("memory_mb", 512).put("sockets", sockets))
                .put("settings", settings);
    }

    private static JSONArray lanes() {
        JSONArray lanes = new JSONArray();
        for (Kind kind : KINDS) {
            JSONObject lane = new JSONObject()
                    .put("Name", kind.name)
                    .put("Aim", (double) kind.latencyObjectiveMillis)
                    .put("Deadline", (double) kind.deadlineMillis)
                    .put("LateWorth", 0.1)
                    .put("Worth", kind.weight)
                    .put("Effect", kind.keyed ? "deduplicated" : "idempotent");
            lanes.put(kind.keyed ? lane.put("Window", 42_633.0) : lane);
        }
        return lanes;
    }

    private static JSONArray tenants() {
        JSONArray tenants = new JSONArray();
        for (int i = 0; i < TENANT_SHARES.length; i++) {
            tenants.put(new JSONObject()
                    .put("Name", TENANTS.get(i))
                    .put("QuotaPerS", TOTAL_QUOTA_PER_S * TENANT_SHARES[i]));
        }
        return tenants;
    }

    private static JSONObject family() {
        return new JSONObject()
                .put("Callers", 5)
                .put("CallsOut", 40.0)
                .put("Cold", false)
                .put("ClassCalls", List.of(true, false, true, true))
                .put("DepWindow", 5_000.0)
                .put("ClassSkipWorth", List.of(0.3, 0.0, 0.5, 0.0))
                .put("DependsOn", "shared")
                .put("Fresh", 0.0)
                .put("Gauges", List.of("core_use", "on_cores", "heap_share", "links"))
                .put("Halt", "suspend")
                .put("Heeded", 1_000.0)
                .put("KbPerKey", 4.0)
                .put("Linger", 200.0)
                .put("MemoryKb", 60_000.0)
                .put("NCores", 6)
                .put("RegistryFollows", true)
                .put("RunFactor", 8.0)
                .put("Say", "window");
    }

    /** Draws a request class by the shares of the classes. */
    public static Kind kind(Random random) {
        double remainder = random.nextDouble();
        for (Kind kind : KINDS) {
            remainder -= kind.share;
            if (remainder < 0) {
                return kind;
            }
        }
        return KINDS.get(0);
    }

    /** Draws the name of a tenant of the default site by the tenants' shares. */
    public static String tenant(Random random) {
        double draw = random.nextDouble();
        return TENANTS.get(draw < TENANT_SHARES[0] ? 0 : draw < TENANT_SHARES[0] + TENANT_SHARES[1] ? 1 : 2);
    }

    /** Encodes an attempt as one line, as a proxy sends it; {@code arrivalUnixMillis} is its arrival at the proxy. */
    public static String request(long id, Kind kind, String tenant, String txn, long arrivalUnixMillis) {
        return "{\"jsonrpc\":\"2.0\",\"id\":" + id
                + ",\"method\":\"" + kind.name + "\",\"params\":{\"txn\":\"" + txn
                + "\",\"door\":" + arrivalUnixMillis + ",\"lb\":1,\"team\":\"" + tenant + "\",\"limit\":"
                + kind.deadlineMillis
                + ",\"cpu\":15.0,\"ram\":24.5,\"standing\":0.5,"
                + (kind.keyed ? "\"unique\":\"u" + txn : "\"item\":\"i" + txn) + "\",\"blob\":\"cmVxdWVzdA==\"}}\n";
    }
}

package wheatspread.lab.settings;

import java.util.List;
import org.json.JSONArray;
import org.json.JSONObject;
import wheatspread.lab.Sites;

/** Generates the files of one server: a configuration with many tenants, an operator's file with many routes. */
public final class SettingsFiles {
    /** A path that the uwsgi front answers at once. */
    static final String HEALTH_PATH = "/health";

    /** Every second route matches a whole path, the others what begins with theirs. */
    private static final List<String> MATCHES = List.of("exact", "prefix");

    private static final int MOST_CONNECTIONS = 512;
    private static final int SOCKETS = 1_024;
    private static final int MEMORY_MB = 128;
    private static final int SERVERS = 12;

    /** No right file has a negative quota. */
    private static final double WRONG_QUOTA = -1;

    private SettingsFiles() {}

    /** Where a server listens and finds the parties round it, each as {@code host:port}. */
    public record Addresses(
            String listen, String uwsgi, String control, String kernel, String records, String announce) {}

    /** The configuration of a server with so many tenants. */
    public static JSONObject configuration(Addresses at, int tenants) {
        JSONObject configuration = Sites.config(at.kernel, at.records, at.announce, SOCKETS, SERVERS)
                .put("listen", at.listen)
                .put("control", at.control);
        configuration.getJSONObject("limits").put("memory_mb", MEMORY_MB);
        configuration.getJSONObject("settings").put("Parties", Sites.tenants(tenants));
        return configuration;
    }

    /** The same configuration with a negative quota at its last tenant, which a server must refuse. */
    public static JSONObject withWrongQuota(JSONObject configuration) {
        JSONObject copy = new JSONObject(configuration.toString());
        JSONArray tenants = copy.getJSONObject("settings").getJSONArray("Parties");
        tenants.getJSONObject(tenants.length() - 1).put("QuotaPerS", WRONG_QUOTA);
        return copy;
    }

    /** An operator's file with so many routes of the uwsgi front, and counters in the log every second. */
    public static JSONObject operatorFile(Addresses at, int routes) {
        JSONArray all = new JSONArray();
        for (int i = 0; i < routes; i++) {
            all.put(new JSONObject()
                    .put("match", MATCHES.get(i % MATCHES.size()))
                    .put("path", path(i))
                    .put("class", Sites.KINDS.get(i % Sites.KINDS.size()).name())
                    .put("cpu_ms", 15));
        }
        JSONObject uwsgi = new JSONObject()
                .put("listen", at.uwsgi)
                .put("max_connections", MOST_CONNECTIONS)
                .put("health_path", HEALTH_PATH)
                .put(
                        "defaults",
                        new JSONObject().put("tenant", Sites.tenantName(0)).put("class", "search"))
                .put("routes", all);
        return new JSONObject().put("transport", "nio").put("report_s", 1).put("uwsgi", uwsgi);
    }

    /** The path of a route; a request for exactly this path takes that route. */
    public static String path(int route) {
        return "/kitchens/" + route % 100 + "/menus/" + route + '/';
    }
}

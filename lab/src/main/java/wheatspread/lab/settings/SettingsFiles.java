package wheatspread.lab.settings;

import java.util.List;
import org.json.JSONArray;
import org.json.JSONObject;
import wheatspread.lab.Sites;

/** Generates the files of a server: a configuration with many tenants and an operator's file with many routes. */
public final class SettingsFiles {
    /** The path of the health check of the uwsgi front. */
    static final String HEALTH_PATH = "/health";

    /** Routes match alternately by the whole path and by prefix. */
    private static final List<String> MATCHES = List.of("exact", "prefix");

    private static final int MAX_CONNECTIONS = 512;
    private static final int MAX_SOCKETS = 1_024;
    private static final int MEMORY_MB = 128;
    private static final int SERVERS = 12;

    /** Invalid, because quotas are positive. */
    private static final double INVALID_QUOTA_PER_S = -1;

    private SettingsFiles() {}

    /** The addresses of a server and of the services that it connects to, each as {@code host:port}. */
    public record Addresses(
            String listen, String uwsgi, String control, String kernel, String records, String announce) {}

    /** Returns the configuration of a server with this number of tenants. */
    public static JSONObject configuration(Addresses addresses, int tenants) {
        JSONObject configuration = Sites.config(
                        addresses.kernel, addresses.records, addresses.announce, MAX_SOCKETS, SERVERS)
                .put("listen", addresses.listen)
                .put("control", addresses.control);
        configuration.getJSONObject("limits").put("memory_mb", MEMORY_MB);
        configuration.getJSONObject("settings").put("Parties", Sites.tenants(tenants));
        return configuration;
    }

    /** Returns a copy with a negative quota of the last tenant, which a server must refuse. */
    public static JSONObject withInvalidQuota(JSONObject configuration) {
        JSONObject copy = new JSONObject(configuration.toString());
        JSONArray tenants = copy.getJSONObject("settings").getJSONArray("Parties");
        tenants.getJSONObject(tenants.length() - 1).put("QuotaPerS", INVALID_QUOTA_PER_S);
        return copy;
    }

    /** Returns an operator's file with this number of uwsgi routes, which logs the counters every second. */
    public static JSONObject operatorFile(Addresses addresses, int routes) {
        JSONArray routeList = new JSONArray();
        for (int i = 0; i < routes; i++) {
            routeList.put(new JSONObject()
                    .put("match", MATCHES.get(i % MATCHES.size()))
                    .put("path", path(i))
                    .put("class", Sites.KINDS.get(i % Sites.KINDS.size()).name())
                    .put("cpu_ms", 15));
        }
        JSONObject uwsgi = new JSONObject()
                .put("listen", addresses.uwsgi)
                .put("max_connections", MAX_CONNECTIONS)
                .put("health_path", HEALTH_PATH)
                .put(
                        "defaults",
                        new JSONObject().put("tenant", Sites.tenantName(0)).put("class", "search"))
                .put("routes", routeList);
        return new JSONObject().put("transport", "nio").put("report_s", 1).put("uwsgi", uwsgi);
    }

    /** Returns the path of a route by its number from 0; a request for exactly this path takes the route. */
    public static String path(int route) {
        return "/kitchens/" + route % 100 + "/menus/" + route + '/';
    }
}

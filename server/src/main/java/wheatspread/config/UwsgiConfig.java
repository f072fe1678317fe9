package wheatspread.config;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import wheatspread.core.DeploymentSettings;

/**
 * The operator's file: where the uwsgi front listens, its bounds, which vars carry what, and what holds for
 * a request whose packet does not say. Times are microseconds here and milliseconds in the file.
 */
public record UwsgiConfig(
        InetSocketAddress listen,
        int mostConnections,
        int mostVars,
        int mostBody,
        long readTimeout,
        long idleTimeout,
        String healthPath,
        Vars vars,
        Defaults defaults,
        List<Route> routes) {
    private static final Set<String> KEYS = Set.of(
            "listen",
            "max_connections",
            "max_vars",
            "max_body",
            "read_timeout_ms",
            "idle_timeout_ms",
            "health_path",
            "vars",
            "defaults",
            "routes");
    private static final Set<String> DEFAULT_KEYS = Set.of("class", "tenant", "limit_ms", "cpu_ms", "ram_kb");
    /** The names of the vars that carry a request's particulars. */
    public record Vars(String kind, String tenant, String limit, String hint, String ram, String unique, String item) {
        /** What a proxy is asked to call them, unless the file says otherwise. */
        public static final Vars USUAL = new Vars(
                "RECIPE_CLASS",
                "RECIPE_TENANT",
                "RECIPE_LIMIT_MS",
                "RECIPE_CPU_MS",
                "RECIPE_RAM_KB",
                "RECIPE_UNIQUE",
                "RECIPE_ITEM");
    }

    /** What holds where a packet does not say; an index of -1 and a limit of 0 mean that nothing is set. */
    public record Defaults(int kind, int tenant, long limit, long hint, double ramKb) {}

    /** How a route's path is compared, as the location forms of nginx are. */
    public enum Match {
        EXACT,
        PREFIX,
        PREFIX_FIRST,
        REGEX,
        REGEX_ANY_CASE
    }

    /**
     * Defaults for the requests whose path matches; {@code pattern} is null unless it is a regex. The routes
     * within it are looked at where it is the one that matches; they take nothing over from it.
     */
    public record Route(Match match, String path, Pattern pattern, Defaults defaults, List<Route> routes) {}

    static UwsgiConfig read(JsonFields told, DeploymentSettings site) {
        told.only(KEYS);
        JsonFields names = told.object("vars", true);
        names.only(Set.of("class", "tenant", "limit_ms", "cpu_ms", "ram_kb", "unique", "item"));
        Vars usual = Vars.USUAL;
        Vars vars = new Vars(
                names.text("class", usual.kind),
                names.text("tenant", usual.tenant),
                names.text("limit_ms", usual.limit),
                names.text("cpu_ms", usual.hint),
                names.text("ram_kb", usual.ram),
                names.text("unique", usual.unique),
                names.text("item", usual.item));
        Defaults none = new Defaults(-1, -1, 0, 0, 24);
        JsonFields absent = told.object("defaults", true);
        absent.only(DEFAULT_KEYS);
        Defaults defaults = RouteReader.defaults(absent, none, site);
        RouteReader routes = told.large("routes", RouteReader.class, () -> new RouteReader(site));
        told.summary("routes", routes.size() + " routes");
        return new UwsgiConfig(
                ServerConfig.address(told, "listen"),
                told.integer("max_connections", 256, 1, 1 << 20),
                told.integer("max_vars", 16_384, 64, 65_535),
                told.integer("max_body", 2_048, 0, 1 << 20),
                told.micros("read_timeout_ms", 5_000_000L, 10),
                told.micros("idle_timeout_ms", 60_000_000L, 10),
                told.text("health_path", ""),
                vars,
                defaults,
                routes.routes(defaults));
    }
}

package wheatspread.config;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import wheatspread.core.DeploymentSettings;

/**
 * The settings of the uwsgi protocol in the operator's file: address and limits, the names of the vars with a request's
 * parameters, and the defaults of absent parameters. Times are in microseconds here and in milliseconds in the file.
 */
public record UwsgiConfig(
        InetSocketAddress listen,
        int maxConnections,
        int maxVarsBytes,
        int maxBodyBytes,
        int maxKeyChars,
        long readTimeoutMicros,
        long idleTimeoutMicros,
        String healthPath,
        Vars vars,
        Defaults defaults,
        List<Route> routes) {
    private static final Set<String> KEYS = Set.of(
            "listen",
            "max_connections",
            "max_vars",
            "max_body",
            "max_key",
            "read_timeout_ms",
            "idle_timeout_ms",
            "health_path",
            "vars",
            "defaults",
            "routes");
    private static final Set<String> KEYS_OF_DEFAULTS = Set.of("class", "tenant", "limit_ms", "cpu_ms", "ram_kb");

    /** The names of the vars with a request's parameters. */
    public record Vars(
            String requestClass,
            String tenant,
            String timeout,
            String expectedWork,
            String memory,
            String idempotencyKey,
            String cacheKey) {
        /** The default names. */
        public static final Vars DEFAULT = new Vars(
                "RECIPE_CLASS",
                "RECIPE_TENANT",
                "RECIPE_LIMIT_MS",
                "RECIPE_CPU_MS",
                "RECIPE_RAM_KB",
                "RECIPE_UNIQUE",
                "RECIPE_ITEM");
    }

    /**
     * The defaults of absent parameters. A request class or tenant index of -1 and a timeout of 0 mean that there is no
     * default; an expected work of 0 means that the work is unknown.
     */
    public record Defaults(
            int requestClass, int tenant, long timeoutMicros, long expectedWorkMicros, double memoryKb) {}

    /** The ways to match a path, which correspond to the modifiers of nginx locations. */
    public enum Match {
        EXACT,
        PREFIX,
        PREFIX_FIRST,
        REGEX,
        REGEX_ANY_CASE
    }

    /**
     * The defaults of requests whose path matches. {@code pattern} is the compiled path of a REGEX or REGEX_ANY_CASE
     * route, and null for every other route. Nested routes are searched if this route matches; they inherit no defaults
     * from this route.
     */
    public record Route(Match match, String path, Pattern pattern, Defaults defaults, List<Route> routes) {}

    static UwsgiConfig read(JsonFields fields, DeploymentSettings deployment) {
        fields.requireKnownKeys(KEYS);
        JsonFields names = fields.object("vars", true);
        names.requireKnownKeys(Set.of("class", "tenant", "limit_ms", "cpu_ms", "ram_kb", "unique", "item"));
        Vars defaultNames = Vars.DEFAULT;
        Vars vars = new Vars(
                names.text("class", defaultNames.requestClass),
                names.text("tenant", defaultNames.tenant),
                names.text("limit_ms", defaultNames.timeout),
                names.text("cpu_ms", defaultNames.expectedWork),
                names.text("ram_kb", defaultNames.memory),
                names.text("unique", defaultNames.idempotencyKey),
                names.text("item", defaultNames.cacheKey));
        Defaults builtInDefaults = new Defaults(-1, -1, 0, 0, 24);
        JsonFields defaultFields = fields.object("defaults", true);
        defaultFields.requireKnownKeys(KEYS_OF_DEFAULTS);
        Defaults defaults = RouteReader.defaults(defaultFields, builtInDefaults, deployment);
        RouteReader routeReader = fields.largeList("routes", RouteReader.class, () -> new RouteReader(deployment));
        fields.recordSummary("routes", routeReader.size() + " routes");
        return new UwsgiConfig(
                ServerConfig.address(fields, "listen"),
                fields.integer("max_connections", 256, 1, 1 << 20),
                fields.integer("max_vars", 16_384, 64, 65_535),
                fields.integer("max_body", 2_048, 0, 1 << 20),
                fields.integer("max_key", 256, 32, 4_096),
                fields.micros("read_timeout_ms", 5_000_000L, 10),
                fields.micros("idle_timeout_ms", 60_000_000L, 10),
                fields.text("health_path", ""),
                vars,
                defaults,
                routeReader.routes(defaults));
    }
}

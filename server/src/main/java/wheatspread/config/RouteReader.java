package wheatspread.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.regex.PatternSyntaxException;
import wheatspread.config.UwsgiConfig.Defaults;
import wheatspread.config.UwsgiConfig.Match;
import wheatspread.config.UwsgiConfig.Route;
import wheatspread.core.DeploymentSettings;

/**
 * Reads the list of routes. A route inherits absent keys from the defaults of the protocol, which may follow the routes
 * in the file, so routes are completed after the whole file has been read.
 */
final class RouteReader implements ListReader {
    private static final int MAX_ROUTES = 1 << 16;
    private static final int MAX_LISTED_NAMES = 8;
    private static final Set<String> KEYS =
            Set.of("match", "path", "class", "tenant", "limit_ms", "cpu_ms", "ram_kb", "routes");
    private static final Map<String, Match> MATCHES = Map.of(
            "exact",
            Match.EXACT,
            "prefix",
            Match.PREFIX,
            "prefix_first",
            Match.PREFIX_FIRST,
            "regex",
            Match.REGEX,
            "regex_any_case",
            Match.REGEX_ANY_CASE);
    /** Marks a value that a route does not set. */
    private static final int INHERITED = -2;

    private static final Defaults ALL_INHERITED = new Defaults(INHERITED, INHERITED, INHERITED, INHERITED, INHERITED);

    private final DeploymentSettings deployment;
    private final List<Route> routes = new ArrayList<>();

    /** If {@code deployment} is null, names of request classes and tenants are not checked. */
    RouteReader(DeploymentSettings deployment) {
        this.deployment = deployment;
    }

    @Override
    public int maxElements() {
        return MAX_ROUTES;
    }

    @Override
    public void read(int index, JsonFields element) {
        Match match = element.oneOf("match", MATCHES);
        String path = element.text("path");
        element.requireKnownKeys(KEYS);
        routes.add(new Route(
                match,
                path,
                pattern(element, match, path),
                defaults(element, ALL_INHERITED, deployment),
                nested(element).routes));
    }

    private RouteReader nested(JsonFields element) {
        return element.largeList("routes", RouteReader.class, () -> new RouteReader(deployment));
    }

    private static Pattern pattern(JsonFields fields, Match match, String path) {
        try {
            return switch (match) {
                case REGEX -> Pattern.compile(path);
                case REGEX_ANY_CASE -> Pattern.compile(path, Pattern.CASE_INSENSITIVE);
                default -> null;
            };
        } catch (PatternSyntaxException e) {
            return fields.report(
                    "path", "is not a valid regular expression: " + e.getDescription() + ": " + path, null);
        } catch (StackOverflowError e) {
            return fields.report(
                    "path", "is a regular expression that is nested too deeply: " + ConfigProblem.format(path), null);
        }
    }

    /** Returns the number of routes, without nested ones. */
    int size() {
        return routes.size();
    }

    /** Returns the routes with inherited values filled in. */
    List<Route> routes(Defaults inherited) {
        return complete(routes, inherited);
    }

    private static List<Route> complete(List<Route> routes, Defaults inherited) {
        routes.replaceAll(route -> new Route(
                route.match(),
                route.path(),
                route.pattern(),
                complete(route.defaults(), inherited),
                route.routes().isEmpty() ? List.of() : complete(route.routes(), inherited)));
        return List.copyOf(routes);
    }

    private static Defaults complete(Defaults fields, Defaults inherited) {
        return new Defaults(
                fields.requestClass() == INHERITED ? inherited.requestClass() : fields.requestClass(),
                fields.tenant() == INHERITED ? inherited.tenant() : fields.tenant(),
                fields.timeoutMicros() == INHERITED ? inherited.timeoutMicros() : fields.timeoutMicros(),
                fields.expectedWorkMicros() == INHERITED ? inherited.expectedWorkMicros() : fields.expectedWorkMicros(),
                fields.memoryKb() == INHERITED ? inherited.memoryKb() : fields.memoryKb());
    }

    /** Reads the defaults of absent request parameters; absent keys are inherited. */
    static Defaults defaults(JsonFields fields, Defaults inherited, DeploymentSettings deployment) {
        return new Defaults(
                index(fields, "class", deployment == null ? null : deployment.classes(), inherited.requestClass()),
                index(fields, "tenant", deployment == null ? null : deployment.tenants(), inherited.tenant()),
                fields.has("limit_ms")
                        ? fields.integer("limit_ms", 0, 0, 3_600_000) * 1000L
                        : inherited.timeoutMicros(),
                fields.has("cpu_ms")
                        ? Math.round(nonNegative(fields, "cpu_ms") * 1000)
                        : inherited.expectedWorkMicros(),
                fields.has("ram_kb") ? nonNegative(fields, "ram_kb") : inherited.memoryKb());
    }

    private static double nonNegative(JsonFields fields, String key) {
        double value = fields.number(key);
        return value >= 0 && value < 1e6
                ? value
                : fields.report(key, "is out of range: " + value + "; allowed is 0 to under 1000000", 0.0);
    }

    private static int index(JsonFields fields, String key, List<String> names, int defaultIndex) {
        if (!fields.has(key) || names == null) {
            return defaultIndex;
        }
        int index = names.indexOf(fields.text(key));
        return index >= 0
                ? index
                : fields.report(key, "is none of " + listedNames(names) + ": " + fields.text(key), defaultIndex);
    }

    private static String listedNames(List<String> names) {
        return names.size() <= MAX_LISTED_NAMES
                ? names.toString()
                : names.subList(0, MAX_LISTED_NAMES) + " and " + (names.size() - MAX_LISTED_NAMES) + " more";
    }
}

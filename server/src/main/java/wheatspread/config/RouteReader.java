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
 * Reads the list of routes. A route takes over what it does not say from the defaults of the front, and these
 * may stand behind the routes in the file; so the gaps are filled once the whole file has been read.
 */
final class RouteReader implements ListReader {
    private static final int MOST = 1 << 16;
    private static final int MOST_NAMES_TOLD = 8;
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
    /** Stands for what a route does not say. */
    private static final int UNTOLD = -2;

    private static final Defaults ALL_UNTOLD = new Defaults(UNTOLD, UNTOLD, UNTOLD, UNTOLD, UNTOLD);

    private final DeploymentSettings site;
    private final List<Route> routes = new ArrayList<>();

    /** {@code site} may be null: nothing can be said of its names then. */
    RouteReader(DeploymentSettings site) {
        this.site = site;
    }

    @Override
    public int most() {
        return MOST;
    }

    @Override
    public void read(int index, JsonFields element) {
        Match match = element.word("match", MATCHES);
        String path = element.text("path");
        element.only(KEYS);
        routes.add(new Route(
                match,
                path,
                pattern(element, match, path),
                defaults(element, ALL_UNTOLD, site),
                within(element).routes));
    }

    private RouteReader within(JsonFields element) {
        return element.large("routes", RouteReader.class, () -> new RouteReader(site));
    }

    private static Pattern pattern(JsonFields told, Match match, String path) {
        try {
            return switch (match) {
                case REGEX -> Pattern.compile(path);
                case REGEX_ANY_CASE -> Pattern.compile(path, Pattern.CASE_INSENSITIVE);
                default -> null;
            };
        } catch (PatternSyntaxException e) {
            return told.fault("path", "is no regular expression: " + e.getDescription() + ": " + path, null);
        } catch (StackOverflowError e) {
            return told.fault("path", "is a regular expression with too many brackets in brackets", null);
        }
    }

    /** How many routes there are, without those within others. */
    int size() {
        return routes.size();
    }

    /** The routes, with what they leave out taken from {@code outer}. */
    List<Route> routes(Defaults outer) {
        return filled(routes, outer);
    }

    private static List<Route> filled(List<Route> routes, Defaults outer) {
        routes.replaceAll(route -> new Route(
                route.match(),
                route.path(),
                route.pattern(),
                filled(route.defaults(), outer),
                route.routes().isEmpty() ? List.of() : filled(route.routes(), outer)));
        return List.copyOf(routes);
    }

    private static Defaults filled(Defaults told, Defaults outer) {
        return new Defaults(
                told.kind() == UNTOLD ? outer.kind() : told.kind(),
                told.tenant() == UNTOLD ? outer.tenant() : told.tenant(),
                told.limit() == UNTOLD ? outer.limit() : told.limit(),
                told.hint() == UNTOLD ? outer.hint() : told.hint(),
                told.ramKb() == UNTOLD ? outer.ramKb() : told.ramKb());
    }

    /** Reads what holds where a packet does not say; {@code outer} is taken over for absent keys. */
    static Defaults defaults(JsonFields told, Defaults outer, DeploymentSettings site) {
        return new Defaults(
                index(told, "class", site == null ? null : site.classes(), outer.kind()),
                index(told, "tenant", site == null ? null : site.tenants(), outer.tenant()),
                told.has("limit_ms") ? told.integer("limit_ms", 0, 0, 3_600_000) * 1000L : outer.limit(),
                told.has("cpu_ms") ? Math.round(positive(told, "cpu_ms") * 1000) : outer.hint(),
                told.has("ram_kb") ? positive(told, "ram_kb") : outer.ramKb());
    }

    private static double positive(JsonFields told, String key) {
        double value = told.number(key);
        return value >= 0 && value < 1e6
                ? value
                : told.fault(key, "is out of range: " + value + "; allowed is 0 to under 1000000", 0.0);
    }

    private static int index(JsonFields told, String key, List<String> names, int absent) {
        if (!told.has(key) || names == null) {
            return absent;
        }
        int index = names.indexOf(told.text(key));
        return index >= 0 ? index : told.fault(key, "is none of " + some(names) + ": " + told.text(key), absent);
    }

    private static String some(List<String> names) {
        return names.size() <= MOST_NAMES_TOLD
                ? names.toString()
                : names.subList(0, MOST_NAMES_TOLD) + " and " + (names.size() - MOST_NAMES_TOLD) + " more";
    }
}

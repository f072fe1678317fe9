package wheatspread.uwsgi;

import java.util.List;
import wheatspread.config.UwsgiConfig.Defaults;
import wheatspread.config.UwsgiConfig.Match;
import wheatspread.config.UwsgiConfig.Route;

/**
 * Finds the route of a path with the precedence of nginx's locations: first an exact match; then the longest
 * matching prefix, if it takes precedence over regular expressions; then the first regular expression that
 * matches; then the longest prefix. As in nginx, routes nested in the longest prefix are searched before the
 * regular expressions of the same level. Immutable.
 */
final class Routes {
    private final List<Route> routes;
    private final Defaults defaults;

    /** A match; {@code isFinal} is false for a prefix over which a regular expression may take precedence. */
    private record RouteMatch(Route route, boolean isFinal) {}

    Routes(List<Route> routes, Defaults defaults) {
        this.routes = routes;
        this.defaults = defaults;
    }

    /** Returns the defaults of the route that matches a path; the general defaults if none matches. */
    Defaults find(String path) {
        RouteMatch match = find(routes, path);
        return match == null ? defaults : match.route.defaults();
    }

    private static RouteMatch find(List<Route> siblings, String path) {
        Route longestPrefix = null;
        for (Route route : siblings) {
            boolean prefix = route.match() == Match.PREFIX || route.match() == Match.PREFIX_FIRST;
            if (route.match() == Match.EXACT && path.equals(route.path())) {
                return new RouteMatch(route, true);
            }
            if (prefix
                    && path.startsWith(route.path())
                    && (longestPrefix == null
                            || route.path().length() > longestPrefix.path().length())) {
                longestPrefix = route;
            }
        }
        RouteMatch nestedMatch = longestPrefix == null ? null : find(longestPrefix.routes(), path);
        if (nestedMatch != null && nestedMatch.isFinal) {
            return nestedMatch;
        }
        if (longestPrefix == null || longestPrefix.match() != Match.PREFIX_FIRST) {
            for (Route route : siblings) {
                if (route.pattern() != null && route.pattern().matcher(path).find()) {
                    RouteMatch nestedInPattern = find(route.routes(), path);
                    return new RouteMatch(nestedInPattern == null ? route : nestedInPattern.route, true);
                }
            }
        }
        return nestedMatch != null || longestPrefix == null ? nestedMatch : new RouteMatch(longestPrefix, false);
    }
}

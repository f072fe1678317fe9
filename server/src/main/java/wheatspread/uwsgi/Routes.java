package wheatspread.uwsgi;

import java.util.List;
import wheatspread.config.UwsgiConfig.Defaults;
import wheatspread.config.UwsgiConfig.Match;
import wheatspread.config.UwsgiConfig.Route;

/**
 * Finds the route of a path with the precedence of nginx's locations: an exact match; else the longest prefix
 * if it takes precedence over regular expressions; else the first regular expression that matches; else that
 * longest prefix. Routes nested in the longest prefix are searched before the regular expressions beside it,
 * as in nginx. Immutable.
 */
final class Routes {
    private final List<Route> routes;
    private final Defaults defaults;

    /** A match; {@code isFinal} unless it is a prefix that a regular expression may still replace. */
    private record Found(Route route, boolean isFinal) {}

    Routes(List<Route> routes, Defaults defaults) {
        this.routes = routes;
        this.defaults = defaults;
    }

    /** Returns the defaults of the route that matches a path. */
    Defaults find(String path) {
        Found found = find(routes, path);
        return found == null ? defaults : found.route.defaults();
    }

    private static Found find(List<Route> level, String path) {
        Route longest = null;
        for (Route route : level) {
            boolean prefix = route.match() == Match.PREFIX || route.match() == Match.PREFIX_FIRST;
            if (route.match() == Match.EXACT && path.equals(route.path())) {
                return new Found(route, true);
            }
            if (prefix
                    && path.startsWith(route.path())
                    && (longest == null
                            || route.path().length() > longest.path().length())) {
                longest = route;
            }
        }
        Found nested = longest == null ? null : find(longest.routes(), path);
        if (nested != null && nested.isFinal) {
            return nested;
        }
        if (longest == null || longest.match() != Match.PREFIX_FIRST) {
            for (Route route : level) {
                if (route.pattern() != null && route.pattern().matcher(path).find()) {
                    Found deeper = find(route.routes(), path);
                    return new Found(deeper == null ? route : deeper.route, true);
                }
            }
        }
        return nested != null || longest == null ? nested : new Found(longest, false);
    }
}

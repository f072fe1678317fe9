package wheatspread.uwsgi;

import java.util.List;
import wheatspread.config.UwsgiConfig.Defaults;
import wheatspread.config.UwsgiConfig.Match;
import wheatspread.config.UwsgiConfig.Route;

/**
 * Finds the route of a path with the precedence of nginx's locations: an exact one; else the longest prefix
 * if it goes before regular expressions; else the first regular expression; else that longest prefix. Routes
 * within the longest prefix are looked at before the regular expressions beside it, as nginx does.
 */
final class Routes {
    private final List<Route> routes;
    private final Defaults defaults;

    /** A route, and whether it ends the search: a prefix does not, since a regular expression may follow. */
    private record Found(Route route, boolean last) {}

    Routes(List<Route> routes, Defaults defaults) {
        this.routes = routes;
        this.defaults = defaults;
    }

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
        Found within = longest == null ? null : find(longest.routes(), path);
        if (within != null && within.last) {
            return within;
        }
        if (longest == null || longest.match() != Match.PREFIX_FIRST) {
            for (Route route : level) {
                if (route.pattern() != null && route.pattern().matcher(path).find()) {
                    Found deeper = find(route.routes(), path);
                    return new Found(deeper == null ? route : deeper.route, true);
                }
            }
        }
        return within != null || longest == null ? within : new Found(longest, false);
    }
}

package wheatspread.uwsgi;

import java.util.List;
import wheatspread.config.UwsgiConfig.Defaults;
import wheatspread.config.UwsgiConfig.Match;
import wheatspread.config.UwsgiConfig.Route;

/**
 * Finds the route of a path with the precedence of nginx's locations: an exact one; else the longest prefix
 * if it goes before regular expressions; else the first regular expression; else that longest prefix.
 */
final class Routes {
    private final List<Route> routes;
    private final Defaults defaults;

    Routes(List<Route> routes, Defaults defaults) {
        this.routes = routes;
        this.defaults = defaults;
    }

    Defaults find(String path) {
        Route longest = null;
        for (Route route : routes) {
            boolean prefix = route.match() == Match.PREFIX || route.match() == Match.PREFIX_FIRST;
            if (route.match() == Match.EXACT && path.equals(route.path())) {
                return route.defaults();
            }
            if (prefix && path.startsWith(route.path())
                && (longest == null || route.path().length() > longest.path().length())) {
                longest = route;
            }
        }
        if (longest == null || longest.match() != Match.PREFIX_FIRST) {
            for (Route route : routes) {
                if (route.pattern() != null && route.pattern().matcher(path).find()) {
                    return route.defaults();
                }
            }
        }
        return longest == null ? defaults : longest.defaults();
    }
}

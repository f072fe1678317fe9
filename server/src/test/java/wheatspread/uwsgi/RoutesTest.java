package wheatspread.uwsgi;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wheatspread.config.UwsgiConfig.Defaults;
import wheatspread.config.UwsgiConfig.Match;
import wheatspread.config.UwsgiConfig.Route;

class RoutesTest {
    /** The request class of route n is n, so that a test can tell which route was found; without a route it is -1. */
    private static final List<String> ROUTES = List.of(
            "prefix /",
            "prefix /a/",
            "exact /a/",
            "regex ^/a/.*x$",
            "prefix_first /a/first/",
            "regex_any_case \\.PNG$",
            "prefix /a/long/");

    @ParameterizedTest
    @CsvSource({
        "/a/, 2",
        "/a/b, 1",
        "/a/bx, 3",
        "/a/first/bx, 4",
        "/a/b.png, 5",
        "/a/long/y, 6",
        "/a/long/x, 3",
        "/q, 0",
        "q, -1",
        "/a/x.pngx, 3"
    })
    void findsRouteByNginxPrecedence(String path, int classIndex) {
        List<Route> routes = ROUTES.stream()
                .map(text -> route(text.split(" "), ROUTES.indexOf(text)))
                .toList();
        assertThat(new Routes(routes, defaults(-1)).find(path).requestClass()).isEqualTo(classIndex);
    }

    /** Nested regular expressions apply even in a prefix that takes precedence over regular expressions. */
    @ParameterizedTest
    @CsvSource({"/a/x, 2", "/a/in/y, 3", "/a/in/x, 2", "/a/y, 1", "/b/x, 4", "/b/y, 5", "/b/in/x, 4", "/b/in/y, 6"})
    void searchesNestedRoutesOfLongestPrefix(String path, int classIndex) {
        Route regexInA = route("regex x$".split(" "), 2);
        Route prefixInA = route("prefix /a/in/".split(" "), 3);
        Route prefixInB = route("prefix /b/in/".split(" "), 6);
        List<Route> routes = List.of(
                new Route(Match.PREFIX_FIRST, "/a/", null, defaults(1), List.of(regexInA, prefixInA)),
                route("regex x$".split(" "), 4),
                new Route(Match.PREFIX, "/b/", null, defaults(5), List.of(prefixInB)));
        assertThat(new Routes(routes, defaults(-1)).find(path).requestClass()).isEqualTo(classIndex);
    }

    private static Route route(String[] words, int classIndex) {
        Match match = Match.valueOf(words[0].toUpperCase(Locale.ROOT));
        Pattern pattern = match == Match.REGEX
                ? Pattern.compile(words[1])
                : match == Match.REGEX_ANY_CASE ? Pattern.compile(words[1], Pattern.CASE_INSENSITIVE) : null;
        return new Route(match, words[1], pattern, defaults(classIndex), List.of());
    }

    private static Defaults defaults(int classIndex) {
        return new Defaults(classIndex, -1, 0, 0, 0);
    }
}

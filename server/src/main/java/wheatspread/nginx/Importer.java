package wheatspread.nginx;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.json.JSONArray;
import org.json.JSONObject;
import wheatspread.config.UwsgiConfig.Vars;

/**
 * Turns the upstream and location blocks of an nginx configuration into an operator's file for the one server
 * among them that listens on a given address. What has no place there is reported with file and line.
 */
public final class Importer {
    private static final Map<String, String> MATCHES =
            Map.of("=", "exact", "^~", "prefix_first", "~", "regex", "~*", "regex_any_case");
    /** Vars that nginx's own list passes on; they reach the front as they are. */
    private static final Set<String> STANDARD = Set.of(
            "QUERY_STRING",
            "REQUEST_METHOD",
            "CONTENT_TYPE",
            "CONTENT_LENGTH",
            "REQUEST_URI",
            "PATH_INFO",
            "DOCUMENT_ROOT",
            "SERVER_PROTOCOL",
            "REQUEST_SCHEME",
            "HTTPS",
            "REMOTE_ADDR",
            "REMOTE_PORT",
            "SERVER_PORT",
            "SERVER_NAME",
            "SCRIPT_NAME",
            "HTTP_HOST");

    private static final Set<String> INHERITED =
            Set.of("uwsgi_read_timeout", "uwsgi_send_timeout", "client_max_body_size");
    private static final Set<String> CARRIED =
            Set.of("uwsgi_param", "uwsgi_read_timeout", "uwsgi_send_timeout", "client_max_body_size");
    private static final Pattern TIME = Pattern.compile("(\\d+)(ms|s|m|h|d|)");
    private static final Pattern SIZE = Pattern.compile("(\\d{1,9})([kKmMgG]?)");
    private static final Map<String, Long> UNITS =
            Map.of("ms", 1L, "s", 1_000L, "", 1_000L, "m", 60_000L, "h", 3_600_000L, "d", 86_400_000L);
    private static final long LONGEST_MS = 3_600_000;
    private static final int LARGEST_BODY = 1 << 20;

    private final List<String> report = new ArrayList<>();
    private final Map<String, Directive> upstreams = new LinkedHashMap<>();
    private final JSONArray routes = new JSONArray();
    private final Map<String, Directive> seen = new HashMap<>();
    private String listen;
    private Directive chosen;
    private long sendTimeout;
    private long bodySize = -1;
    private long keepalive;
    private long mostConnections;

    /** What an enclosing block hands down to a location. */
    private record Scope(Map<String, Directive> inherited, List<Directive> params, JSONArray routes) {}

    private Importer(String listen) {
        this.listen = listen;
    }

    /** The operator's file, and what could not be carried over, a line each. */
    public record Result(JSONObject file, List<String> report) {}

    /** {@code listen} picks the server by its address; where it is null, the first that is up is taken. */
    public static Result read(Path file, String listen) {
        try {
            Importer importer = new Importer(listen);
            List<Directive> all = ConfParser.parse(file);
            importer.collectUpstreams(all);
            importer.walk(all, new Scope(Map.of(), List.of(), importer.routes));
            return new Result(importer.operatorFile(file), List.copyOf(importer.report));
        } catch (ConfParser.BadConf e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    private void complain(Directive about, String complaint) {
        report.add(about.place() + ": " + about.name() + ": " + complaint);
    }

    private JSONObject operatorFile(Path file) {
        if (chosen == null) {
            throw new IllegalArgumentException(file + ":1: no location passes to "
                    + (listen == null ? "a server that this program could be" : listen));
        }
        JSONObject uwsgi = new JSONObject().put("listen", listen).put("routes", routes);
        putPositive(uwsgi, "max_connections", Math.min(4096, mostConnections));
        putPositive(uwsgi, "read_timeout_ms", sendTimeout);
        putPositive(uwsgi, "idle_timeout_ms", keepalive);
        if (bodySize >= 0) {
            uwsgi.put("max_body", bodySize);
        }
        return new JSONObject().put("uwsgi", uwsgi);
    }

    private static void putPositive(JSONObject to, String key, long value) {
        if (value > 0) {
            to.put(key, value);
        }
    }

    // ---- upstreams ----

    private void collectUpstreams(List<Directive> block) {
        for (Directive d : block) {
            if (d.name().equals("upstream") && d.block() != null) {
                upstreams.put(d.arg(0), d);
            } else if (d.name().equals("http") && d.block() != null) {
                collectUpstreams(d.block());
            }
        }
    }

    /** Whether the server this program is stands behind the target of a pass; takes it up where it does. */
    private boolean passesHere(Directive pass) {
        String target = pass.arg(0);
        if (target.contains("$") || target.startsWith("unix:") || target.contains("://")) {
            complain(pass, target + " is no fixed TCP address or upstream");
            return false;
        }
        Directive upstream = upstreams.get(target);
        if (upstream == null) {
            boolean here = choose(pass, target, List.of());
            if (!here && !target.equals(listen)) {
                complain(pass, target + " is another server than " + listen);
            }
            return here;
        }
        for (Directive server : upstream.block()) {
            boolean down = server.args().contains("down");
            if (server.name().equals("server") && !down && choose(server, server.arg(0), server.args())) {
                upstream(upstream);
                return true;
            }
        }
        complain(pass, "upstream " + target + " has no server " + (listen == null ? "that is up" : listen));
        return false;
    }

    private boolean choose(Directive from, String address, List<String> options) {
        if (!address.matches("[^:]+:\\d{1,5}|\\[[0-9a-fA-F:]+\\]:\\d{1,5}")) {
            if (listen == null || listen.equals(address)) {
                complain(from, address + " is not host:port");
            }
            return false;
        }
        if (listen != null && !listen.equals(address)) {
            return false;
        }
        listen = address;
        if (chosen != from) {
            chosen = from;
            options.stream().skip(1).forEach(option -> serverOption(from, option));
        }
        return true;
    }

    private void serverOption(Directive server, String option) {
        if (option.matches("max_conns=\\d{1,9}")) {
            mostConnections = Long.parseLong(option.substring("max_conns=".length()));
        } else {
            once(server, option + " says how the proxy chooses; it stays there");
        }
    }

    private void upstream(Directive upstream) {
        if (seen.put("upstream " + upstream.arg(0), upstream) != null) {
            return;
        }
        for (Directive d : upstream.block()) {
            if (d.name().equals("keepalive_timeout")) {
                keepalive = time(d);
            } else if (!d.name().equals("server")) {
                complain(d, "says how the proxy chooses or keeps connections; it stays there");
            }
        }
    }

    // ---- locations ----

    private void walk(List<Directive> block, Scope outer) {
        Scope scope = scope(block, outer, outer.routes());
        for (Directive d : block) {
            if (d.name().equals("location") && d.block() != null) {
                location(d, scope);
            } else if (Set.of("http", "server").contains(d.name()) && d.block() != null) {
                walk(d.block(), scope);
            } else if (!CARRIED.contains(d.name())
                    && (d.name().startsWith("uwsgi_")
                            || Set.of("rewrite", "return", "if", "set").contains(d.name()))) {
                complain(d, "has no counterpart in the recipe server");
            }
        }
    }

    /** As nginx inherits: a value goes down unless it is set again, the params only where none are set. */
    private static Scope scope(List<Directive> block, Scope outer, JSONArray routes) {
        Map<String, Directive> inherited = new HashMap<>(outer.inherited());
        List<Directive> params = new ArrayList<>();
        for (Directive d : block) {
            if (INHERITED.contains(d.name())) {
                inherited.put(d.name(), d);
            } else if (d.name().equals("uwsgi_param")) {
                params.add(d);
            }
        }
        return new Scope(inherited, params.isEmpty() ? outer.params() : params, routes);
    }

    /** Every location becomes a route, since one that leads elsewhere has its part in the precedence too. */
    private void location(Directive location, Scope outer) {
        JSONObject route = route(location, outer.routes());
        if (route == null) {
            return;
        }
        JSONArray nested = new JSONArray();
        Scope scope = scope(location.block(), outer, nested);
        Directive pass = null;
        for (Directive d : location.block()) {
            if (d.name().equals("uwsgi_pass")) {
                pass = d;
            } else if (d.name().equals("location") && d.block() != null) {
                location(d, scope);
            } else if (!CARRIED.contains(d.name())) {
                complain(d, "has no counterpart in the recipe server");
            }
        }
        if (pass != null && passesHere(pass)) {
            fill(route, scope);
        }
        if (!nested.isEmpty()) {
            route.put("routes", nested);
        }
    }

    /** Adds the route of a location to its level; null where its form or its place is taken or unknown. */
    private JSONObject route(Directive location, JSONArray level) {
        boolean modified = location.args().size() == 2;
        String path = location.arg(modified ? 1 : 0);
        String match = modified ? MATCHES.get(location.arg(0)) : "prefix";
        if (match == null || path.isEmpty() || location.args().size() > 2) {
            complain(location, "unknown form: " + String.join(" ", location.args()));
            return null;
        }
        if (path.startsWith("@")) {
            complain(location, path + " is named: only the proxy's own redirects lead there");
            return null;
        }
        for (Object other : level) {
            JSONObject earlier = (JSONObject) other;
            if (earlier.get("match").equals(match) && earlier.get("path").equals(path)) {
                complain(location, "the same location stands before this one, which is left out");
                return null;
            }
        }
        JSONObject route = new JSONObject().put("match", match).put("path", path);
        level.put(route);
        return route;
    }

    private void fill(JSONObject route, Scope scope) {
        scope.params().forEach(param -> param(param, route));
        Directive read = scope.inherited().get("uwsgi_read_timeout");
        if (read != null && !route.has("limit_ms")) {
            putPositive(route, "limit_ms", time(read));
        }
        Directive send = scope.inherited().get("uwsgi_send_timeout");
        sendTimeout = Math.max(sendTimeout, send == null ? 0 : time(send));
        Directive size = scope.inherited().get("client_max_body_size");
        bodySize = Math.max(bodySize, size == null ? -1 : size(size));
    }

    private void param(Directive param, JSONObject route) {
        String name = param.arg(0);
        String value = param.arg(1);
        Vars vars = Vars.DEFAULT;
        Map<String, String> words = Map.of(vars.requestClass(), "class", vars.tenant(), "tenant");
        Map<String, String> numbers =
                Map.of(vars.timeout(), "limit_ms", vars.expectedWork(), "cpu_ms", vars.memory(), "ram_kb");
        boolean fixed = !value.contains("$");
        if (fixed && words.containsKey(name)) {
            route.put(words.get(name), value);
        } else if (fixed && numbers.containsKey(name)) {
            if (value.matches("\\d{1,9}(\\.\\d{1,9})?")) {
                boolean whole = name.equals(vars.timeout());
                double number = Double.parseDouble(value);
                route.put(numbers.get(name), whole ? (Object) Math.round(number) : (Object) number);
            } else {
                once(param, name + " is not a number: " + value);
            }
        } else if (!STANDARD.contains(name)
                && !Set.of(
                                vars.requestClass(),
                                vars.tenant(),
                                vars.timeout(),
                                vars.expectedWork(),
                                vars.memory(),
                                vars.idempotencyKey(),
                                vars.cacheKey())
                        .contains(name)) {
            once(param, name + " means nothing to the recipe server");
        }
    }

    /** A param may serve many locations; one report of it is enough. */
    private void once(Directive d, String complaint) {
        if (seen.putIfAbsent(d.place() + " " + complaint, d) == null) {
            complain(d, complaint);
        }
    }

    // ---- times and sizes ----

    private long time(Directive d) {
        Matcher parts = TIME.matcher(d.arg(0));
        long total = 0;
        int end = 0;
        while (end < d.arg(0).length()
                && parts.find(end)
                && parts.start() == end
                && parts.end() > end
                && parts.group(1).length() < 10) {
            total += Long.parseLong(parts.group(1)) * UNITS.get(parts.group(2));
            end = parts.end();
        }
        if (end != d.arg(0).length() || end == 0) {
            once(d, "not a time: " + d.arg(0));
            return 0;
        }
        if (total > LONGEST_MS) {
            once(d, d.arg(0) + " is cut to an hour, the longest there is");
        }
        return Math.min(LONGEST_MS, total);
    }

    private long size(Directive d) {
        Matcher parts = SIZE.matcher(d.arg(0));
        if (!parts.matches()) {
            once(d, "not a size: " + d.arg(0));
            return -1;
        }
        long size = Long.parseLong(parts.group(1))
                << Map.of("", 0, "k", 10, "m", 20, "g", 30).get(parts.group(2).toLowerCase());
        if (size == 0 || size > LARGEST_BODY) {
            once(d, d.arg(0) + " is cut to " + LARGEST_BODY + " bytes, the most there is");
        }
        return size == 0 ? LARGEST_BODY : Math.min(LARGEST_BODY, size);
    }
}

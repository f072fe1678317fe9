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
 * Converts the upstream and location blocks of an nginx configuration to an operator's file for the upstream server
 * with a given address. Directives without a counterpart are reported with file and line.
 */
public final class Importer {
    private static final Map<String, String> MATCH_BY_MODIFIER =
            Map.of("=", "exact", "^~", "prefix_first", "~", "regex", "~*", "regex_any_case");

    /** The vars of nginx's file uwsgi_params, which need no setting in the operator's file. */
    private static final Set<String> STANDARD_VARS = Set.of(
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

    private static final Set<String> INHERITED_DIRECTIVES =
            Set.of("uwsgi_read_timeout", "uwsgi_send_timeout", "client_max_body_size");
    private static final Set<String> SUPPORTED_DIRECTIVES =
            Set.of("uwsgi_param", "uwsgi_read_timeout", "uwsgi_send_timeout", "client_max_body_size");
    private static final Pattern TIME = Pattern.compile("(\\d+)(ms|s|m|h|d|)");
    private static final Pattern SIZE = Pattern.compile("(\\d{1,9})([kKmMgG]?)");
    private static final Map<String, Long> MILLIS_BY_UNIT =
            Map.of("ms", 1L, "s", 1_000L, "", 1_000L, "m", 60_000L, "h", 3_600_000L, "d", 86_400_000L);
    private static final long MAX_TIME_MS = 3_600_000;
    private static final int MAX_BODY_BYTES = 1 << 20;

    private final List<String> report = new ArrayList<>();
    private final Map<String, Directive> upstreams = new LinkedHashMap<>();
    private final JSONArray routes = new JSONArray();
    /**
     * The directives whose problems were reported, by location and problem, and the upstreams that were converted, by
     * {@code upstream NAME}.
     */
    private final Map<String, Directive> reportedOrConverted = new HashMap<>();

    private String listen;
    private Directive selectedServer;
    private long sendTimeoutMillis;
    private long bodyBytes = -1;
    private long keepaliveMillis;
    private long maxConnections;

    /**
     * The directives that the locations of a block inherit, and the list to which the routes of these locations are
     * added.
     */
    private record Scope(Map<String, Directive> inherited, List<Directive> params, JSONArray routes) {}

    private Importer(String listen) {
        this.listen = listen;
    }

    /** The operator's file, and a line for each directive that could not be converted. */
    public record Result(JSONObject file, List<String> report) {}

    /**
     * Converts a configuration.
     *
     * @param listen the address of the upstream server to convert; null for the first server that is not down
     * @throws IllegalArgumentException if the file is invalid or no location passes requests to that server
     */
    public static Result convert(Path file, String listen) {
        try {
            Importer importer = new Importer(listen);
            List<Directive> directives = ConfParser.parse(file);
            importer.collectUpstreams(directives);
            importer.convertBlock(directives, new Scope(Map.of(), List.of(), importer.routes));
            return new Result(importer.operatorFile(file), List.copyOf(importer.report));
        } catch (ConfParser.InvalidConfException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    private void report(Directive directive, String problem) {
        report.add(directive.location() + ": " + directive.name() + ": " + problem);
    }

    private JSONObject operatorFile(Path file) {
        if (selectedServer == null) {
            throw new IllegalArgumentException(file + ":1: no location passes requests to "
                    + (listen == null ? "a server that has a TCP address and is not down" : listen));
        }
        JSONObject uwsgi = new JSONObject().put("listen", listen).put("routes", routes);
        putPositive(uwsgi, "max_connections", Math.min(4096, maxConnections));
        putPositive(uwsgi, "read_timeout_ms", sendTimeoutMillis);
        putPositive(uwsgi, "idle_timeout_ms", keepaliveMillis);
        if (bodyBytes >= 0) {
            uwsgi.put("max_body", bodyBytes);
        }
        return new JSONObject().put("uwsgi", uwsgi);
    }

    private static void putPositive(JSONObject target, String key, long value) {
        if (value > 0) {
            target.put(key, value);
        }
    }

    // ---- upstreams ----

    private void collectUpstreams(List<Directive> block) {
        for (Directive directive : block) {
            if (directive.name().equals("upstream") && directive.block() != null) {
                upstreams.put(directive.arg(0), directive);
            } else if (directive.name().equals("http") && directive.block() != null) {
                collectUpstreams(directive.block());
            }
        }
    }

    /** Returns whether a uwsgi_pass directive names the selected server; selects a server if none is selected yet. */
    private boolean passesToSelectedServer(Directive pass) {
        String target = pass.arg(0);
        if (target.contains("$") || target.startsWith("unix:") || target.contains("://")) {
            report(pass, target + " is neither a fixed TCP address nor the name of an upstream");
            return false;
        }
        Directive upstream = upstreams.get(target);
        if (upstream == null) {
            boolean selected = selectServer(pass, target, List.of());
            if (!selected && !target.equals(listen)) {
                report(pass, target + " is another server than " + listen + "; it is not converted");
            }
            return selected;
        }
        for (Directive server : upstream.block()) {
            boolean down = server.args().contains("down");
            if (server.name().equals("server") && !down && selectServer(server, server.arg(0), server.args())) {
                convertUpstream(upstream);
                return true;
            }
        }
        report(pass, "upstream " + target + " has no server " + (listen == null ? "that is not down" : listen));
        return false;
    }

    private boolean selectServer(Directive directive, String address, List<String> options) {
        if (!address.matches("[^:]+:\\d{1,5}|\\[[0-9a-fA-F:]+\\]:\\d{1,5}")) {
            if (listen == null || listen.equals(address)) {
                report(directive, address + " is not a TCP address; expected host:port");
            }
            return false;
        }
        if (listen != null && !listen.equals(address)) {
            return false;
        }
        listen = address;
        if (selectedServer != directive) {
            selectedServer = directive;
            options.stream().skip(1).forEach(option -> convertServerOption(directive, option));
        }
        return true;
    }

    private void convertServerOption(Directive server, String option) {
        if (option.matches("max_conns=\\d{1,9}")) {
            maxConnections = Long.parseLong(option.substring("max_conns=".length()));
        } else {
            reportOnce(server, option + " configures load balancing in the proxy; it is not converted");
        }
    }

    private void convertUpstream(Directive upstream) {
        if (reportedOrConverted.put("upstream " + upstream.arg(0), upstream) != null) {
            return;
        }
        for (Directive directive : upstream.block()) {
            if (directive.name().equals("keepalive_timeout")) {
                keepaliveMillis = timeMillis(directive);
            } else if (!directive.name().equals("server")) {
                report(directive, "configures load balancing or connections in the proxy; it is not converted");
            }
        }
    }

    // ---- locations ----

    private void convertBlock(List<Directive> block, Scope outer) {
        Scope scope = scope(block, outer, outer.routes());
        for (Directive directive : block) {
            if (directive.name().equals("location") && directive.block() != null) {
                convertLocation(directive, scope);
            } else if (Set.of("http", "server").contains(directive.name()) && directive.block() != null) {
                convertBlock(directive.block(), scope);
            } else if (!SUPPORTED_DIRECTIVES.contains(directive.name())
                    && (directive.name().startsWith("uwsgi_")
                            || Set.of("rewrite", "return", "if", "set").contains(directive.name()))) {
                report(directive, "has no counterpart in the recipe server");
            }
        }
    }

    /** Inherits as nginx does: a block overrides single values, but its params replace all inherited ones. */
    private static Scope scope(List<Directive> block, Scope outer, JSONArray routes) {
        Map<String, Directive> inherited = new HashMap<>(outer.inherited());
        List<Directive> params = new ArrayList<>();
        for (Directive directive : block) {
            if (INHERITED_DIRECTIVES.contains(directive.name())) {
                inherited.put(directive.name(), directive);
            } else if (directive.name().equals("uwsgi_param")) {
                params.add(directive);
            }
        }
        return new Scope(inherited, params.isEmpty() ? outer.params() : params, routes);
    }

    /**
     * Converts a location, even if it passes to another server, because its path still decides which location matches a
     * request.
     */
    private void convertLocation(Directive location, Scope outer) {
        JSONObject route = addRoute(location, outer.routes());
        if (route == null) {
            return;
        }
        JSONArray nested = new JSONArray();
        Scope scope = scope(location.block(), outer, nested);
        Directive pass = null;
        for (Directive directive : location.block()) {
            if (directive.name().equals("uwsgi_pass")) {
                pass = directive;
            } else if (directive.name().equals("location") && directive.block() != null) {
                convertLocation(directive, scope);
            } else if (!SUPPORTED_DIRECTIVES.contains(directive.name())) {
                report(directive, "has no counterpart in the recipe server");
            }
        }
        if (pass != null && passesToSelectedServer(pass)) {
            setParameters(route, scope);
        }
        if (!nested.isEmpty()) {
            route.put("routes", nested);
        }
    }

    /** Adds the route of a location to the routes of its block; returns null if the location is reported instead. */
    private JSONObject addRoute(Directive location, JSONArray siblings) {
        boolean hasModifier = location.args().size() == 2;
        String path = location.arg(hasModifier ? 1 : 0);
        String match = hasModifier ? MATCH_BY_MODIFIER.get(location.arg(0)) : "prefix";
        if (match == null || path.isEmpty() || location.args().size() > 2) {
            report(
                    location,
                    "unknown form: " + String.join(" ", location.args())
                            + "; expected a path with an optional modifier =, ^~, ~ or ~*");
            return null;
        }
        if (path.startsWith("@")) {
            report(location, path + " is a named location, which only internal redirects of the proxy reach");
            return null;
        }
        for (Object sibling : siblings) {
            JSONObject earlier = (JSONObject) sibling;
            if (earlier.get("match").equals(match) && earlier.get("path").equals(path)) {
                report(location, "duplicates an earlier location; it is not converted");
                return null;
            }
        }
        JSONObject route = new JSONObject().put("match", match).put("path", path);
        siblings.put(route);
        return route;
    }

    private void setParameters(JSONObject route, Scope scope) {
        scope.params().forEach(param -> convertParam(param, route));
        Directive read = scope.inherited().get("uwsgi_read_timeout");
        if (read != null && !route.has("limit_ms")) {
            putPositive(route, "limit_ms", timeMillis(read));
        }
        Directive send = scope.inherited().get("uwsgi_send_timeout");
        sendTimeoutMillis = Math.max(sendTimeoutMillis, send == null ? 0 : timeMillis(send));
        Directive size = scope.inherited().get("client_max_body_size");
        bodyBytes = Math.max(bodyBytes, size == null ? -1 : sizeBytes(size));
    }

    private void convertParam(Directive param, JSONObject route) {
        String name = param.arg(0);
        String value = param.arg(1);
        Vars vars = Vars.DEFAULT;
        Map<String, String> textKeys = Map.of(vars.requestClass(), "class", vars.tenant(), "tenant");
        Map<String, String> numberKeys =
                Map.of(vars.timeout(), "limit_ms", vars.expectedWork(), "cpu_ms", vars.memory(), "ram_kb");
        boolean fixed = !value.contains("$");
        if (fixed && textKeys.containsKey(name)) {
            route.put(textKeys.get(name), value);
        } else if (fixed && numberKeys.containsKey(name)) {
            if (value.matches("\\d{1,9}(\\.\\d{1,9})?")) {
                boolean isInteger = name.equals(vars.timeout());
                double number = Double.parseDouble(value);
                route.put(numberKeys.get(name), isInteger ? (Object) Math.round(number) : (Object) number);
            } else {
                reportOnce(param, name + " is not a number: " + value);
            }
        } else if (!STANDARD_VARS.contains(name)
                && !Set.of(
                                vars.requestClass(),
                                vars.tenant(),
                                vars.timeout(),
                                vars.expectedWork(),
                                vars.memory(),
                                vars.idempotencyKey(),
                                vars.cacheKey())
                        .contains(name)) {
            reportOnce(param, name + " is not a parameter of the recipe server");
        }
    }

    /** Reports a problem only once for a directive that several locations inherit. */
    private void reportOnce(Directive directive, String problem) {
        if (reportedOrConverted.putIfAbsent(directive.location() + " " + problem, directive) == null) {
            report(directive, problem);
        }
    }

    // ---- times and sizes ----

    /** Returns a time in milliseconds; 0 if it is invalid, which is reported. */
    private long timeMillis(Directive directive) {
        Matcher parts = TIME.matcher(directive.arg(0));
        long totalMillis = 0;
        int end = 0;
        while (end < directive.arg(0).length()
                && parts.find(end)
                && parts.start() == end
                && parts.end() > end
                && parts.group(1).length() < 10) {
            totalMillis += Long.parseLong(parts.group(1)) * MILLIS_BY_UNIT.get(parts.group(2));
            end = parts.end();
        }
        if (end != directive.arg(0).length() || end == 0) {
            reportOnce(
                    directive,
                    "not a time: " + directive.arg(0) + "; expected numbers with a unit of ms, s, m, h or d");
            return 0;
        }
        if (totalMillis > MAX_TIME_MS) {
            reportOnce(directive, directive.arg(0) + " is above " + MAX_TIME_MS + " ms; using the maximum");
        }
        return Math.min(MAX_TIME_MS, totalMillis);
    }

    /** Returns a size in bytes; -1 if it is invalid, which is reported. nginx takes 0 as unlimited. */
    private long sizeBytes(Directive directive) {
        Matcher parts = SIZE.matcher(directive.arg(0));
        if (!parts.matches()) {
            reportOnce(
                    directive,
                    "not a size: " + directive.arg(0) + "; expected a number with an optional unit of k, m or g");
            return -1;
        }
        long bytes = Long.parseLong(parts.group(1))
                << Map.of("", 0, "k", 10, "m", 20, "g", 30).get(parts.group(2).toLowerCase());
        if (bytes == 0 || bytes > MAX_BODY_BYTES) {
            reportOnce(
                    directive, directive.arg(0) + " is not from 1 to " + MAX_BODY_BYTES + " bytes; using the maximum");
        }
        return bytes == 0 ? MAX_BODY_BYTES : Math.min(MAX_BODY_BYTES, bytes);
    }
}

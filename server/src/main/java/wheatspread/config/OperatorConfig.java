package wheatspread.config;

import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import wheatspread.connections.ConnectionLimits;
import wheatspread.connections.ConnectionLimits.Refusal;
import wheatspread.core.DeploymentSettings;
import wheatspread.scheduling.IterationBudget;

/**
 * The operator's file: the second front, what holds for connections, and how the event loop spends its turns.
 * What is absent has its default. Times are microseconds here and milliseconds in the file.
 *
 * @param uwsgi null where the second front is off
 * @param mostConnections of all fronts together; 0 for what the descriptors allow
 * @param connections what holds for every front's connections, but for their number
 * @param transport {@code nio}, {@code epoll} or {@code auto}
 * @param reportSeconds how often counters are logged; 0 for at the end only
 * @param stats whether the method {@code stats} answers on the platform's front
 * @param membership null where this server keeps to itself
 */
public record OperatorConfig(
        UwsgiConfig uwsgi,
        int mostConnections,
        ConnectionLimits connections,
        IterationBudget turns,
        String transport,
        int reportSeconds,
        LogConfig log,
        LifeConfig life,
        boolean stats,
        MembershipConfig membership) {
    /** What holds without a file, as on the platform. */
    public static final OperatorConfig NONE = new OperatorConfig(
            null,
            0,
            ConnectionLimits.usual(0),
            IterationBudget.USUAL,
            "nio",
            0,
            LogConfig.USUAL,
            LifeConfig.USUAL,
            false,
            null);

    private static final Map<String, Refusal> REFUSALS =
            Map.of("close", Refusal.CLOSE, "reset", Refusal.RESET, "answer", Refusal.ANSWER);
    private static final Map<String, String> TRANSPORTS = Map.of("nio", "nio", "epoll", "epoll", "auto", "auto");

    /** Complaints name the file and the key. */
    public static OperatorConfig readFile(Path file, DeploymentSettings site) {
        return read(fields(file, site), site);
    }

    /** The file's keys; {@code site} may be null. */
    static JsonFields fields(Path file, DeploymentSettings site) {
        return JsonFile.read(file, Map.of("uwsgi.routes", () -> new RouteReader(site)));
    }

    static OperatorConfig read(JsonFields told, DeploymentSettings site) {
        told.only(
                Set.of("uwsgi", "connections", "turns", "transport", "report_s", "log", "life", "stats", "membership"));
        UwsgiConfig uwsgi = told.has("uwsgi") ? UwsgiConfig.read(told.object("uwsgi", false), site) : null;
        JsonFields connections = told.object("connections", true);
        OperatorConfig config = new OperatorConfig(
                uwsgi,
                connections.integer("max", 0, 0, 1 << 20),
                limits(connections),
                turns(told.object("turns", true)),
                told.word("transport", TRANSPORTS, "auto"),
                told.integer("report_s", 0, 0, 3_600),
                LogConfig.read(told.object("log", true)),
                LifeConfig.read(told.object("life", true)),
                told.flag("stats", false),
                told.has("membership") ? MembershipConfig.read(told.object("membership", false)) : null);
        told.settle();
        return config;
    }

    private static ConnectionLimits limits(JsonFields told) {
        told.only(Set.of(
                "max",
                "max_per_source",
                "accepts_per_s",
                "accept_burst",
                "first_request_ms",
                "whole_request_ms",
                "idle_timeout_ms",
                "leaving_ms",
                "to_speak_ms",
                "max_partial_kb",
                "max_waiting_kb",
                "refused"));
        ConnectionLimits usual = NONE.connections;
        return new ConnectionLimits(
                0,
                told.integer("max_per_source", usual.maxPerSource(), 0, 1 << 20),
                told.integer("accepts_per_s", usual.acceptsPerSecond(), 0, 1_000_000),
                told.integer("accept_burst", usual.acceptBurst(), 1, 1_000_000),
                told.micros("first_request_ms", usual.firstRequest(), 10),
                told.micros("whole_request_ms", usual.wholeRequest(), 10),
                told.micros("idle_timeout_ms", usual.idleTimeoutMicros(), 0),
                told.micros("leaving_ms", usual.lingering(), 10),
                told.micros("to_speak_ms", usual.toSpeak(), 0),
                told.integer("max_partial_kb", (int) (usual.mostHeld() >> 10), 64, 1 << 20) * 1024L,
                told.integer("max_waiting_kb", (int) (usual.mostWaiting() >> 10), 256, 1 << 20) * 1024L,
                told.word("refused", REFUSALS, usual.refusal()));
    }

    private static IterationBudget turns(JsonFields told) {
        told.only(Set.of("read_kb", "requests", "read_us", "lately_ms", "sleepers_part", "crowd", "expiring"));
        IterationBudget usual = IterationBudget.USUAL;
        return new IterationBudget(
                told.integer("read_kb", usual.maxBytes() >> 10, 4, 1 << 16) << 10,
                told.integer("requests", usual.maxRequests(), 1, 100_000),
                told.integer("read_us", usual.maxReadMicros(), 100, 1_000_000),
                told.micros("lately_ms", usual.lately(), 0),
                told.integer("sleepers_part", usual.readsPerIdleRead(), 2, 1_000),
                told.integer("crowd", usual.burstThreshold(), 1, 1 << 20),
                told.integer("expiring", usual.maxExpirations(), 1, 100_000));
    }

    /** What holds for the uwsgi front's connections. */
    public ConnectionLimits uwsgiLimits() {
        ConnectionLimits c = connections;
        return new ConnectionLimits(
                uwsgi.mostConnections(),
                c.maxPerSource(),
                c.acceptsPerSecond(),
                c.acceptBurst(),
                c.firstRequest(),
                uwsgi.readTimeout(),
                uwsgi.idleTimeout(),
                c.lingering(),
                c.toSpeak(),
                c.mostHeld(),
                c.mostWaiting(),
                c.refusal());
    }

    /** This, with another life and another say on {@code stats}. */
    public OperatorConfig with(LifeConfig otherLife, boolean tellStats) {
        return new OperatorConfig(
                uwsgi,
                mostConnections,
                connections,
                turns,
                transport,
                reportSeconds,
                log,
                otherLife,
                tellStats,
                membership);
    }
}

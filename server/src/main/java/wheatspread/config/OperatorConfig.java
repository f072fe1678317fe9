package wheatspread.config;

import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import wheatspread.connections.ConnectionLimits;
import wheatspread.connections.ConnectionLimits.Rejection;
import wheatspread.core.DeploymentSettings;
import wheatspread.scheduling.IterationBudget;

/**
 * The settings in the operator's file: the uwsgi protocol, the limits of connections, the budget of event-loop
 * iterations, and the process. Absent keys have defaults. Times are in microseconds here and in milliseconds in the
 * file.
 *
 * @param uwsgi the settings of the uwsgi protocol; null if it is disabled
 * @param maxConnections the maximum number of client connections of all protocols; 0 for the number that the
 *     descriptors allow
 * @param connections the limits of every protocol's connections, except for their number
 * @param iterationBudget the budget of an event-loop iteration
 * @param transport {@code nio}, {@code epoll} or {@code auto}
 * @param reportSeconds the interval at which counters are logged, in seconds; 0 to log them only at the end
 * @param stats whether the method {@code stats} is enabled
 * @param membership the settings of cluster membership; null if it is disabled
 */
public record OperatorConfig(
        UwsgiConfig uwsgi,
        int maxConnections,
        ConnectionLimits connections,
        IterationBudget iterationBudget,
        String transport,
        int reportSeconds,
        LogConfig log,
        LifeConfig life,
        boolean stats,
        MembershipConfig membership) {
    /** The defaults, which apply without a file, as on the platform. */
    public static final OperatorConfig DEFAULT = new OperatorConfig(
            null,
            0,
            ConnectionLimits.defaults(0),
            IterationBudget.DEFAULT,
            "nio",
            0,
            LogConfig.DEFAULT,
            LifeConfig.DEFAULT,
            false,
            null);

    private static final Map<String, Rejection> REJECTIONS =
            Map.of("close", Rejection.CLOSE, "reset", Rejection.RESET, "answer", Rejection.ANSWER);
    private static final Map<String, String> TRANSPORTS = Map.of("nio", "nio", "epoll", "epoll", "auto", "auto");

    /** Reads and checks a file; {@code deployment} is the deployment that defines its request classes and tenants. */
    public static OperatorConfig readFile(Path file, DeploymentSettings deployment) {
        return read(fields(file, deployment), deployment);
    }

    /** Returns the fields of the file; {@code deployment} may be null, so that names are not checked. */
    static JsonFields fields(Path file, DeploymentSettings deployment) {
        return JsonFile.read(file, Map.of("uwsgi.routes", () -> new RouteReader(deployment)));
    }

    static OperatorConfig read(JsonFields fields, DeploymentSettings deployment) {
        fields.requireKnownKeys(
                Set.of("uwsgi", "connections", "turns", "transport", "report_s", "log", "life", "stats", "membership"));
        UwsgiConfig uwsgi = fields.has("uwsgi") ? UwsgiConfig.read(fields.object("uwsgi", false), deployment) : null;
        JsonFields connections = fields.object("connections", true);
        OperatorConfig config = new OperatorConfig(
                uwsgi,
                connections.integer("max", 0, 0, 1 << 20),
                limits(connections),
                iterationBudget(fields.object("turns", true)),
                fields.oneOf("transport", TRANSPORTS, "auto"),
                fields.integer("report_s", 0, 0, 3_600),
                LogConfig.read(fields.object("log", true)),
                LifeConfig.read(fields.object("life", true)),
                fields.flag("stats", false),
                fields.has("membership") ? MembershipConfig.read(fields.object("membership", false)) : null);
        fields.throwIfInvalid();
        return config;
    }

    private static ConnectionLimits limits(JsonFields fields) {
        fields.requireKnownKeys(Set.of(
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
        ConnectionLimits defaults = DEFAULT.connections;
        return new ConnectionLimits(
                0,
                fields.integer("max_per_source", defaults.maxConnectionsPerSource(), 0, 1 << 20),
                fields.integer("accepts_per_s", defaults.acceptsPerSecond(), 0, 1_000_000),
                fields.integer("accept_burst", defaults.acceptBurst(), 1, 1_000_000),
                fields.micros("first_request_ms", defaults.firstByteTimeoutMicros(), 10),
                fields.micros("whole_request_ms", defaults.messageTimeoutMicros(), 10),
                fields.micros("idle_timeout_ms", defaults.idleTimeoutMicros(), 0),
                fields.micros("leaving_ms", defaults.lingerTimeoutMicros(), 10),
                fields.micros("to_speak_ms", defaults.evictionGraceMicros(), 0),
                fields.integer("max_partial_kb", (int) (defaults.maxPartialBytes() >> 10), 64, 1 << 20) * 1024L,
                fields.integer("max_waiting_kb", (int) (defaults.maxPendingWriteBytes() >> 10), 256, 1 << 20) * 1024L,
                fields.oneOf("refused", REJECTIONS, defaults.rejection()));
    }

    private static IterationBudget iterationBudget(JsonFields fields) {
        fields.requireKnownKeys(Set.of(
                "read_kb",
                "requests",
                "messages_per_read",
                "immediate_per_read",
                "read_us",
                "lately_ms",
                "sleepers_part",
                "crowd",
                "expiring"));
        IterationBudget defaults = IterationBudget.DEFAULT;
        return new IterationBudget(
                fields.integer("read_kb", defaults.maxBytes() >> 10, 4, 1 << 16) << 10,
                fields.integer("requests", defaults.maxRequests(), 1, 100_000),
                fields.integer("messages_per_read", defaults.maxMessagesPerRead(), 1, 100_000),
                fields.integer("immediate_per_read", defaults.maxImmediateAnswersPerRead(), 1, 100_000),
                fields.integer("read_us", defaults.maxReadMicros(), 100, 1_000_000),
                fields.micros("lately_ms", defaults.recentUseMicros(), 0),
                fields.integer("sleepers_part", defaults.readsPerIdleRead(), 2, 1_000),
                fields.integer("crowd", defaults.burstThreshold(), 1, 1 << 20),
                fields.integer("expiring", defaults.maxExpirations(), 1, 100_000));
    }

    /** Returns the limits of uwsgi connections; there must be settings of the uwsgi protocol. */
    public ConnectionLimits uwsgiLimits() {
        ConnectionLimits common = connections;
        return new ConnectionLimits(
                uwsgi.maxConnections(),
                common.maxConnectionsPerSource(),
                common.acceptsPerSecond(),
                common.acceptBurst(),
                common.firstByteTimeoutMicros(),
                uwsgi.readTimeoutMicros(),
                uwsgi.idleTimeoutMicros(),
                common.lingerTimeoutMicros(),
                common.evictionGraceMicros(),
                common.maxPartialBytes(),
                common.maxPendingWriteBytes(),
                common.rejection());
    }

    /** Returns this configuration with other settings for the process and for {@code stats}. */
    public OperatorConfig with(LifeConfig otherLife, boolean otherStats) {
        return new OperatorConfig(
                uwsgi,
                maxConnections,
                connections,
                iterationBudget,
                transport,
                reportSeconds,
                log,
                otherLife,
                otherStats,
                membership);
    }
}

package wheatspread.config;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import wheatspread.fleet.FleetPlan;

/**
 * The settings of a fleet: its members, their builds, and the policies for health checks, starts and rollouts.
 *
 * @param directory the directory of the fleet's state, logs and marker files
 * @param builds the commands of the builds, by label
 * @param checkIntervalMicros the interval between health checks of a member, in microseconds
 * @param checkTimeoutMicros the time limit of a health check, in microseconds
 */
public record FleetConfig(
        Path file,
        Path directory,
        Map<String, Build> builds,
        List<MemberConfig> members,
        long checkIntervalMicros,
        long checkTimeoutMicros,
        FleetPlan plan,
        LogConfig log) {
    private static final Set<String> KEYS = Set.of(
            "dir", "builds", "build", "members", "config", "checks", "start", "roll", "restarts", "stop_ms", "log");

    /** The command and the environment of a build's processes. */
    public record Build(String label, List<String> command, Map<String, String> environment) {}

    /** A member, the address of its platform protocol, and the file that its {@code GW_CONFIG} names. */
    public record MemberConfig(String name, InetSocketAddress listen, Path config) {
        /** Returns the address in the form of {@code GW_LISTEN}. */
        public String listenText() {
            return listen.getHostString() + ":" + listen.getPort();
        }
    }

    /** Reads and checks a file; paths in it are relative to its directory. */
    public static FleetConfig readFile(Path file) {
        return read(file, JsonFile.read(file));
    }

    static FleetConfig read(Path file, JsonFields fields) {
        fields.requireKnownKeys(KEYS);
        Path root = file.toAbsolutePath().getParent();
        Map<String, Build> builds = builds(fields, root);
        List<MemberConfig> members = members(fields, root);
        JsonFields checks = fields.object("checks", true);
        checks.requireKnownKeys(Set.of("every_ms", "timeout_ms", "stale_ms", "bad_after", "hung_ms"));
        JsonFields start = fields.object("start", true);
        start.requireKnownKeys(Set.of("at_once", "timeout_ms", "settle_ms"));
        String build = fields.text("build");
        if (!build.isEmpty() && !builds.containsKey(build)) {
            fields.report("build", "is none of " + builds.keySet() + ": " + build, null);
        }
        FleetPlan plan = new FleetPlan(
                members.stream().map(MemberConfig::name).toList(),
                build,
                start.integer("at_once", 8, 1, 10_000),
                start.micros("timeout_ms", 15_000_000, 100),
                fields.micros("stop_ms", 5_000_000, 100),
                checks.micros("stale_ms", 3_000_000, 10),
                checks.integer("bad_after", 3, 1, 1_000),
                checks.micros("hung_ms", 15_000_000, 0),
                start.micros("settle_ms", 2_000_000, 10),
                rolloutPolicy(fields.object("roll", true)),
                backoffPolicy(fields.object("restarts", true)));
        FleetConfig config = new FleetConfig(
                file,
                root.resolve(fields.text("dir", "fleet")),
                builds,
                members,
                checks.micros("every_ms", 500_000, 10),
                checks.micros("timeout_ms", 400_000, 10),
                plan,
                LogConfig.read(fields.object("log", true)));
        fields.throwIfInvalid();
        return config;
    }

    private static Map<String, Build> builds(JsonFields fields, Path root) {
        Map<String, Build> builds = new LinkedHashMap<>();
        JsonFields buildFields = fields.object("builds", false);
        for (String label : buildFields.keys()) {
            JsonFields build = buildFields.object(label, false);
            build.requireKnownKeys(Set.of("command", "environment"));
            List<String> command = new ArrayList<>(build.textList("command"));
            if (command.isEmpty()) {
                build.report("command", "is empty; expected a program and its arguments", null);
            }
            command.replaceAll(word -> word.replace("{dir}", root.toString())
                    .replace(
                            "{java}",
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString()));
            Map<String, String> environment = new LinkedHashMap<>();
            JsonFields vars = build.object("environment", true);
            vars.keys().forEach(name -> environment.put(name, vars.text(name)));
            builds.put(label, new Build(label, command, environment));
        }
        if (builds.isEmpty() && fields.has("builds")) {
            fields.report("builds", "is empty; expected at least one build", null);
        }
        return builds;
    }

    private static List<MemberConfig> members(JsonFields fields, Path root) {
        List<MemberConfig> members = new ArrayList<>();
        Map<String, String> taken = new HashMap<>();
        String defaultConfig = fields.text("config", "");
        for (JsonFields member : fields.objects("members")) {
            member.requireKnownKeys(Set.of("name", "listen", "config"));
            String name = member.text("name");
            if (!name.matches("[A-Za-z0-9][A-Za-z0-9_-]{0,63}")) {
                member.report(
                        "name",
                        "is not a valid name: " + name + "; allowed are up to 64 letters, digits, - and _",
                        null);
            }
            InetSocketAddress listen = ServerConfig.address(member, "listen");
            String config = member.text("config", defaultConfig).replace("{name}", name);
            if (config.isEmpty()) {
                member.report("config", "is missing; set it for the member or for the fleet", null);
            }
            for (String key : List.of("name " + name, "listen " + listen)) {
                if (taken.putIfAbsent(key, name) != null && listen.getPort() != 0) {
                    member.report(
                            key.substring(0, key.indexOf(' ')),
                            "is already used by member " + taken.get(key) + ": " + key.substring(key.indexOf(' ') + 1),
                            null);
                }
            }
            members.add(new MemberConfig(name, listen, root.resolve(config)));
        }
        if (members.isEmpty()) {
            fields.report("members", "is empty; expected at least one member", null);
        }
        return members;
    }

    private static FleetPlan.RolloutPolicy rolloutPolicy(JsonFields fields) {
        fields.requireKnownKeys(Set.of(
                "out_share",
                "out_most",
                "proven_answers",
                "proven_ms",
                "patience_ms",
                "failed_share",
                "failures",
                "roll_back"));
        return new FleetPlan.RolloutPolicy(
                fields.number("out_share", 0.2, 0, 1),
                fields.integer("out_most", 0, 0, 10_000),
                fields.integer("proven_answers", 5, 0, 1_000_000),
                fields.micros("proven_ms", 1_000_000, 0),
                fields.micros("patience_ms", 10_000_000, 0),
                fields.number("failed_share", 0.5, 0, 1),
                fields.integer("failures", 1, 1, 10_000),
                fields.flag("roll_back", true));
    }

    private static FleetPlan.BackoffPolicy backoffPolicy(JsonFields fields) {
        fields.requireKnownKeys(Set.of(
                "first_ms",
                "factor",
                "longest_ms",
                "jitter",
                "forgiven_ms",
                "loop_exits",
                "loop_within_ms",
                "hold_ms"));
        return new FleetPlan.BackoffPolicy(
                fields.micros("first_ms", 200_000, 0),
                fields.number("factor", 2, 1, 100),
                fields.micros("longest_ms", 30_000_000, 0),
                fields.number("jitter", 0.2, 0, 1),
                fields.micros("forgiven_ms", 60_000_000, 0),
                fields.integer("loop_exits", 5, 1, 60),
                fields.micros("loop_within_ms", 60_000_000, 1),
                fields.micros("hold_ms", 300_000_000, 0));
    }

    /** Checks each distinct settings file of the members and passes the messages of its faults to {@code messages}. */
    public void checkMembers(Consumer<String> messages) {
        members.stream().map(MemberConfig::config).distinct().forEach(path -> {
            try {
                if (!Files.isReadable(path)) {
                    throw new JsonFields.InvalidValueException(path + " is missing or not readable");
                }
                ServerConfig.read(ServerConfig.fields(path, Map.of("GW_NAME", "checked", "GW_LISTEN", "127.0.0.1:0")));
            } catch (JsonFields.InvalidValueException e) {
                e.messages().forEach(messages);
            }
        });
    }
}

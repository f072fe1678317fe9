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
 * A fleet's file: its members, the builds they run, and how they are checked, started and rolled.
 *
 * @param dir where state, logs and marks of the fleet stand
 * @param builds by label, how a process of each is started
 * @param checkEvery between two checks of a member, in microseconds
 * @param checkTimeout for one check
 */
public record FleetConfig(
        Path file,
        Path dir,
        Map<String, Build> builds,
        List<MemberConfig> members,
        long checkEvery,
        long checkTimeout,
        FleetPlan plan,
        LogConfig log) {
    private static final Set<String> KEYS = Set.of(
            "dir", "builds", "build", "members", "config", "checks", "start", "roll", "restarts", "stop_ms", "log");

    /** A command with what it finds in its environment. */
    public record Build(String label, List<String> command, Map<String, String> environment) {}

    /** A member, the file that its {@code GW_CONFIG} names, and where its platform front listens. */
    public record MemberConfig(String name, InetSocketAddress listen, Path config) {
        /** As {@code GW_LISTEN} has it. */
        public String listenText() {
            return listen.getHostString() + ":" + listen.getPort();
        }
    }

    /** Paths in the file are relative to the folder it stands in. */
    public static FleetConfig readFile(Path file) {
        return read(file, JsonFile.read(file));
    }

    static FleetConfig read(Path file, JsonFields told) {
        told.only(KEYS);
        Path root = file.toAbsolutePath().getParent();
        Map<String, Build> builds = builds(told, root);
        List<MemberConfig> members = members(told, root);
        JsonFields checks = told.object("checks", true);
        checks.only(Set.of("every_ms", "timeout_ms", "stale_ms", "bad_after", "hung_ms"));
        JsonFields start = told.object("start", true);
        start.only(Set.of("at_once", "timeout_ms", "settle_ms"));
        String build = told.text("build");
        if (!build.isEmpty() && !builds.containsKey(build)) {
            told.fault("build", "is none of " + builds.keySet() + ": " + build, null);
        }
        FleetPlan plan = new FleetPlan(
                members.stream().map(MemberConfig::name).toList(),
                build,
                start.integer("at_once", 8, 1, 10_000),
                start.micros("timeout_ms", 15_000_000, 100),
                told.micros("stop_ms", 5_000_000, 100),
                checks.micros("stale_ms", 3_000_000, 10),
                checks.integer("bad_after", 3, 1, 1_000),
                checks.micros("hung_ms", 15_000_000, 0),
                start.micros("settle_ms", 2_000_000, 10),
                rolling(told.object("roll", true)),
                backoff(told.object("restarts", true)));
        FleetConfig config = new FleetConfig(
                file,
                root.resolve(told.text("dir", "fleet")),
                builds,
                members,
                checks.micros("every_ms", 500_000, 10),
                checks.micros("timeout_ms", 400_000, 10),
                plan,
                LogConfig.read(told.object("log", true)));
        told.settle();
        return config;
    }

    private static Map<String, Build> builds(JsonFields told, Path root) {
        Map<String, Build> builds = new LinkedHashMap<>();
        JsonFields all = told.object("builds", false);
        for (String label : all.names()) {
            JsonFields one = all.object(label, false);
            one.only(Set.of("command", "environment"));
            List<String> command = new ArrayList<>(one.texts("command"));
            if (command.isEmpty()) {
                one.fault("command", "names no program", null);
            }
            command.replaceAll(word -> word.replace("{dir}", root.toString())
                    .replace(
                            "{java}",
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString()));
            Map<String, String> environment = new LinkedHashMap<>();
            JsonFields vars = one.object("environment", true);
            vars.names().forEach(name -> environment.put(name, vars.text(name)));
            builds.put(label, new Build(label, command, environment));
        }
        if (builds.isEmpty() && told.has("builds")) {
            told.fault("builds", "names no build", null);
        }
        return builds;
    }

    private static List<MemberConfig> members(JsonFields told, Path root) {
        List<MemberConfig> members = new ArrayList<>();
        Map<String, String> taken = new HashMap<>();
        String usual = told.text("config", "");
        for (JsonFields one : told.objects("members")) {
            one.only(Set.of("name", "listen", "config"));
            String name = one.text("name");
            if (!name.matches("[A-Za-z0-9][A-Za-z0-9_-]{0,63}")) {
                one.fault("name", "is no name: " + name + "; allowed are up to 64 letters, digits, - and _", null);
            }
            InetSocketAddress listen = ServerConfig.address(one, "listen");
            String config = one.text("config", usual).replace("{name}", name);
            if (config.isEmpty()) {
                one.fault("config", "is missing, here and for the fleet", null);
            }
            for (String key : List.of("name " + name, "listen " + listen)) {
                if (taken.putIfAbsent(key, name) != null && listen.getPort() != 0) {
                    one.fault(
                            key.substring(0, key.indexOf(' ')),
                            "is that of another member too: " + key.substring(key.indexOf(' ') + 1),
                            null);
                }
            }
            members.add(new MemberConfig(name, listen, root.resolve(config)));
        }
        if (members.isEmpty()) {
            told.fault("members", "names nobody", null);
        }
        return members;
    }

    private static FleetPlan.Rolling rolling(JsonFields told) {
        told.only(Set.of(
                "out_share",
                "out_most",
                "proven_answers",
                "proven_ms",
                "patience_ms",
                "failed_share",
                "failures",
                "roll_back"));
        return new FleetPlan.Rolling(
                told.number("out_share", 0.2, 0, 1),
                told.integer("out_most", 0, 0, 10_000),
                told.integer("proven_answers", 5, 0, 1_000_000),
                told.micros("proven_ms", 1_000_000, 0),
                told.micros("patience_ms", 10_000_000, 0),
                told.number("failed_share", 0.5, 0, 1),
                told.integer("failures", 1, 1, 10_000),
                told.flag("roll_back", true));
    }

    private static FleetPlan.Backoff backoff(JsonFields told) {
        told.only(Set.of(
                "first_ms",
                "factor",
                "longest_ms",
                "jitter",
                "forgiven_ms",
                "loop_exits",
                "loop_within_ms",
                "hold_ms"));
        return new FleetPlan.Backoff(
                told.micros("first_ms", 200_000, 0),
                told.number("factor", 2, 1, 100),
                told.micros("longest_ms", 30_000_000, 0),
                told.number("jitter", 0.2, 0, 1),
                told.micros("forgiven_ms", 60_000_000, 0),
                told.integer("loop_exits", 5, 1, 60),
                told.micros("loop_within_ms", 60_000_000, 1),
                told.micros("hold_ms", 300_000_000, 0));
    }

    /** Reads the members' own files too, and tells what is wrong with them; each once. */
    public void checkMembers(Consumer<String> faults) {
        members.stream().map(MemberConfig::config).distinct().forEach(path -> {
            try {
                if (!Files.isReadable(path)) {
                    throw new JsonFields.InvalidValueException(path + " cannot be read");
                }
                ServerConfig.read(ServerConfig.fields(path, Map.of("GW_NAME", "checked", "GW_LISTEN", "127.0.0.1:0")));
            } catch (JsonFields.InvalidValueException e) {
                e.faults().forEach(faults);
            }
        });
    }
}

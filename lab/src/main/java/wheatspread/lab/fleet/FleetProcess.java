package wheatspread.lab.fleet;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.json.JSONArray;
import org.json.JSONObject;
import wheatspread.lab.Sites;
import wheatspread.lab.rig.Ports;
import wheatspread.lab.standins.TemporaryFolders;
import wheatspread.lab.world.World;

/**
 * Runs a fleet of real server processes under a real supervisor, in a simulated environment, with files in a
 * temporary folder. Closing it kills all processes that it started and deletes the folder.
 */
public final class FleetProcess implements AutoCloseable {
    private final Path jar;
    private final Path folder;
    private final Path fleetFile;
    private final World world;
    private final List<String> flags;
    private Process supervisor;

    /**
     * Writes the fleet file and the members' configurations; starts no process.
     *
     * @param builds the shell script that starts each build, by label, in which {@code {serve}} stands for the
     *     server's command; an empty text starts the server directly. The first build is the fleet's current one.
     * @param rolling the {@code roll} object of the fleet file
     */
    public FleetProcess(Path jar, List<String> flags, int size, Map<String, String> builds, JSONObject rolling)
            throws IOException {
        this.jar = jar.toAbsolutePath();
        this.flags = flags;
        folder = Files.createTempDirectory("wheatspread-fleet");
        Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        Ports ports = new Ports();
        for (int i = 1; i <= size; i++) {
            addresses.put("n" + i, ports.next());
        }
        world = new World(addresses);
        JSONArray members = new JSONArray();
        for (Map.Entry<String, InetSocketAddress> member : addresses.entrySet()) {
            JSONObject config = Sites.config(
                            world.kernelEndpoint(member.getKey()).text(),
                            world.recordsEndpoint().text(),
                            world.announceEndpoint().text(),
                            512,
                            size)
                    .put("name", member.getKey());
            Files.writeString(folder.resolve(member.getKey() + ".json"), config.toString());
            members.put(new JSONObject()
                    .put("name", member.getKey())
                    .put("listen", "127.0.0.1:" + member.getValue().getPort())
                    .put("config", member.getKey() + ".json"));
        }
        JSONObject buildCommands = new JSONObject();
        builds.forEach((label, script) -> buildCommands.put(label, new JSONObject().put("command", command(script))));
        fleetFile = Files.writeString(
                folder.resolve("fleet.json"),
                new JSONObject()
                        .put("dir", "run")
                        .put("build", builds.keySet().iterator().next())
                        .put("builds", buildCommands)
                        .put("members", members)
                        .put("stop_ms", 4_800)
                        .put(
                                "checks",
                                new JSONObject()
                                        .put("every_ms", 250)
                                        .put("timeout_ms", 1_000)
                                        .put("stale_ms", 4_000))
                        .put("start", new JSONObject().put("at_once", 10).put("timeout_ms", 30_000))
                        .put("restarts", new JSONObject().put("first_ms", 300))
                        .put("roll", rolling)
                        .toString(1));
    }

    private List<String> command(String script) {
        List<String> java = new ArrayList<>(List.of("{java}"));
        java.addAll(flags);
        java.addAll(List.of("-jar", jar.toString(), "serve"));
        if (script.isEmpty()) {
            return java;
        }
        // "$@" in the script stands for the arguments that the supervisor appends
        return List.of("/bin/sh", "-c", script.replace("{serve}", String.join(" ", java)), "serve");
    }

    World world() {
        return world;
    }

    /** Returns the path of the fleet file. */
    public Path file() {
        return fleetFile;
    }

    /** Starts the supervisor. */
    public void startSupervisor() throws IOException {
        supervisor = start("fleet", "up", fleetFile.toString());
    }

    /** Kills the supervisor and waits for its end; the servers keep running. */
    public void killSupervisor() throws InterruptedException {
        supervisor.destroyForcibly().waitFor();
    }

    private Process start(String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx64m",
                "-jar",
                jar.toString()));
        command.addAll(List.of(arguments));
        File log = folder.resolve("supervisor.log").toFile();
        return new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                .start();
    }

    /** The exit code and the output of a {@code fleet} command. */
    public record CommandResult(int exitCode, String output) {}

    /** Runs {@code fleet COMMAND FILE ARGUMENTS...} and waits for its end. */
    public CommandResult runCommand(String command, String... moreArguments) throws IOException, InterruptedException {
        List<String> commandLine = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-jar",
                jar.toString(),
                "fleet",
                command,
                fleetFile.toString()));
        commandLine.addAll(List.of(moreArguments));
        Path out = Files.createTempFile(folder, "command", ".txt");
        int exitCode = new ProcessBuilder(commandLine)
                .redirectErrorStream(true)
                .redirectOutput(out.toFile())
                .start()
                .waitFor();
        return new CommandResult(exitCode, Files.readString(out));
    }

    /** Returns the supervisor's status file; an empty object if there is none yet. */
    public JSONObject status() throws IOException {
        Path status = folder.resolve("run/status.json");
        return Files.exists(status) ? new JSONObject(Files.readString(status)) : new JSONObject();
    }

    /** Waits until the status fulfils a condition and returns it; throws an IOException with the log if it does not. */
    public JSONObject await(String awaited, long millis, Predicate<JSONObject> condition)
            throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < deadlineNanos) {
            JSONObject status = status();
            if (status.has("members") && condition.test(status)) {
                return status;
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
        throw new IOException("fleet did not reach: " + awaited + " within " + millis + " ms, log: " + log());
    }

    /** Returns the last 40 lines of the supervisor's log. */
    public String log() throws IOException {
        try (Stream<String> lines = Files.lines(folder.resolve("supervisor.log"))) {
            List<String> allLines = lines.toList();
            return String.join("\n", allLines.subList(Math.max(0, allLines.size() - 40), allLines.size()));
        }
    }

    /** Counts the members in a state; if {@code build} is not null, only those of that build. */
    public static int count(JSONObject status, String state, String build) {
        int count = 0;
        for (Object entry : status.getJSONArray("members")) {
            JSONObject member = (JSONObject) entry;
            count += member.getString("state").equals(state)
                            && (build == null || member.getString("build").equals(build))
                    ? 1
                    : 0;
        }
        return count;
    }

    /** Kills a member, as a machine failure would. */
    public void kill(String name) throws IOException {
        for (Object entry : status().getJSONArray("members")) {
            JSONObject member = (JSONObject) entry;
            if (member.getString("name").equals(name) && member.getLong("pid") > 0) {
                world.recordKill(name);
                ProcessHandle.of(member.getLong("pid")).ifPresent(ProcessHandle::destroyForcibly);
            }
        }
    }

    /** Sends SIGTERM to the supervisor and returns whether it exited with code 0 within {@code millis}. */
    public boolean shutDown(long millis) throws InterruptedException {
        supervisor.destroy();
        return supervisor.waitFor(millis, TimeUnit.MILLISECONDS) && supervisor.exitValue() == 0;
    }

    @Override
    public void close() throws IOException {
        supervisor.destroyForcibly();
        JSONObject status = status();
        if (status.has("members")) {
            for (Object entry : status.getJSONArray("members")) {
                long pid = ((JSONObject) entry).getLong("pid");
                // the pid may have been reused; only processes that run this jar were started here
                ProcessHandle.of(pid)
                        .filter(process ->
                                process.info().commandLine().orElse("").contains(jar.toString()))
                        .ifPresent(ProcessHandle::destroyForcibly);
            }
        }
        world.close();
        TemporaryFolders.delete(folder);
    }
}

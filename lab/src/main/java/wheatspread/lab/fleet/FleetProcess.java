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
 * A fleet of real processes under a real supervisor, with the world round it. The folder holds its files; all
 * processes that it started are gone when it is closed.
 */
public final class FleetProcess implements AutoCloseable {

    private final Path jar;
    private final Path dir;
    private final Path file;
    private final World world;
    private final List<String> flags;
    private Process supervisor;

    /**
     * @param builds by label, what stands in front of {@code serve} in a build's command instead of the
     * program;
     *     an empty text is the program itself
     * @param rolling the object {@code roll} of the fleet's file
     */
    public FleetProcess(Path jar, List<String> flags, int size, Map<String, String> builds, JSONObject rolling)
            throws IOException {
        this.jar = jar.toAbsolutePath();
        this.flags = flags;
        dir = Files.createTempDirectory("wheatspread-fleet");
        Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        Ports ports = new Ports();
        for (int i = 1; i <= size; i++) {
            addresses.put("n" + i, ports.next());
        }
        world = new World(addresses);
        JSONArray members = new JSONArray();
        for (Map.Entry<String, InetSocketAddress> one : addresses.entrySet()) {
            JSONObject config = Sites.config(
                            world.kernelEndpoint(one.getKey()).text(),
                            world.recordsEndpoint().text(),
                            world.announceEndpoint().text(),
                            512,
                            size)
                    .put("name", one.getKey());
            Files.writeString(dir.resolve(one.getKey() + ".json"), config.toString());
            members.put(new JSONObject()
                    .put("name", one.getKey())
                    .put("listen", "127.0.0.1:" + one.getValue().getPort())
                    .put("config", one.getKey() + ".json"));
        }
        JSONObject told = new JSONObject();
        builds.forEach((label, script) -> told.put(label, new JSONObject().put("command", command(script))));
        file = Files.writeString(
                dir.resolve("fleet.json"),
                new JSONObject()
                        .put("dir", "run")
                        .put("build", builds.keySet().iterator().next())
                        .put("builds", told)
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
        // "$@" in the script stands for what the supervisor adds
        return List.of("/bin/sh", "-c", script.replace("{serve}", String.join(" ", java)), "serve");
    }

    World world() {
        return world;
    }

    /** The fleet's file. */
    public Path file() {
        return file;
    }

    /** Runs a supervisor. */
    public void supervise() throws IOException {
        supervisor = start("fleet", "up", file.toString());
    }

    /** Ends the supervisor outright. */
    public void killSupervisor() throws InterruptedException {
        supervisor.destroyForcibly().waitFor();
    }

    private Process start(String... words) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx64m",
                "-jar",
                jar.toString()));
        command.addAll(List.of(words));
        File log = dir.resolve("supervisor.log").toFile();
        return new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                .start();
    }

    /** A command of the fleet, run to its end; its exit code and what it printed. */
    public record Ended(int code, String text) {}

    /** Runs {@code fleet WORD FILE ...}. */
    public Ended fleet(String word, String... more) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-jar",
                jar.toString(),
                "fleet",
                word,
                file.toString()));
        command.addAll(List.of(more));
        Path out = Files.createTempFile(dir, "command", ".txt");
        int code = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(out.toFile())
                .start()
                .waitFor();
        return new Ended(code, Files.readString(out));
    }

    /** The supervisor's status; an empty object where there is none. */
    public JSONObject status() throws IOException {
        Path status = dir.resolve("run/status.json");
        return Files.exists(status) ? new JSONObject(Files.readString(status)) : new JSONObject();
    }

    /** Waits until the status is as wanted, and returns it. */
    public JSONObject await(String what, long millis, Predicate<JSONObject> wanted)
            throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < until) {
            JSONObject status = status();
            if (status.has("members") && wanted.test(status)) {
                return status;
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
        throw new IOException(what + " did not come about; " + log());
    }

    /** The end of the supervisor's log. */
    public String log() throws IOException {
        try (Stream<String> lines = Files.lines(dir.resolve("supervisor.log"))) {
            List<String> all = lines.toList();
            return String.join("\n", all.subList(Math.max(0, all.size() - 40), all.size()));
        }
    }

    /** How many members are in a state, of a build where one is named. */
    public static int count(JSONObject status, String state, String build) {
        int count = 0;
        for (Object told : status.getJSONArray("members")) {
            JSONObject one = (JSONObject) told;
            count += one.getString("state").equals(state)
                            && (build == null || one.getString("build").equals(build))
                    ? 1
                    : 0;
        }
        return count;
    }

    /** Ends a member outright, as a machine that fails would. */
    public void kill(String name) throws IOException {
        for (Object told : status().getJSONArray("members")) {
            JSONObject one = (JSONObject) told;
            if (one.getString("name").equals(name) && one.getLong("pid") > 0) {
                world.recordKill(name);
                ProcessHandle.of(one.getLong("pid")).ifPresent(ProcessHandle::destroyForcibly);
            }
        }
    }

    /** Takes the fleet down, and returns whether it went by itself. */
    public boolean down(long millis) throws InterruptedException {
        supervisor.destroy();
        return supervisor.waitFor(millis, TimeUnit.MILLISECONDS) && supervisor.exitValue() == 0;
    }

    @Override
    public void close() throws IOException {
        supervisor.destroyForcibly();
        JSONObject status = status();
        if (status.has("members")) {
            for (Object told : status.getJSONArray("members")) {
                long pid = ((JSONObject) told).getLong("pid");
                // a number may have been given away since; only what runs this jar was started here
                ProcessHandle.of(pid)
                        .filter(one -> one.info().commandLine().orElse("").contains(jar.toString()))
                        .ifPresent(ProcessHandle::destroyForcibly);
            }
        }
        world.close();
        TemporaryFolders.delete(dir);
    }
}

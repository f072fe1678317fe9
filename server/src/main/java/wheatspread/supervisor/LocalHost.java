package wheatspread.supervisor;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import org.json.JSONException;
import org.json.JSONObject;
import wheatspread.config.FleetConfig;
import wheatspread.fleet.FleetInstance;
import wheatspread.fleet.FleetInstance.Health;
import wheatspread.fleet.FleetState;
import wheatspread.fleet.FleetState.Found;

/**
 * The machine itself. Members write their logs to files of the fleet's folder, not to a pipe, so that they
 * outlive the supervisor; each holds a lock there, by which a later supervisor finds it.
 */
final class LocalHost implements HostOperations, AutoCloseable {
    private FleetConfig config;
    private final StateFile state;
    private final HealthChecks checks;
    private final Map<String, Process> children = new HashMap<>();
    private final Map<String, ProcessHandle> found = new HashMap<>();
    private final Queue<Runnable> answers = new ConcurrentLinkedQueue<>();

    LocalHost(FleetConfig config) throws IOException {
        this.config = config;
        Files.createDirectories(config.dir());
        state = new StateFile(config.dir().resolve("state.json"));
        checks = new HealthChecks(config.checkTimeout() / 1_000);
    }

    /** The fleet's file was read again. */
    void use(FleetConfig next) {
        config = next;
    }

    private Path mark(String member, String kind) {
        return config.dir().resolve(member + "." + kind);
    }

    private FleetConfig.MemberConfig member(String name) {
        return config.members().stream()
                .filter(one -> one.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    @Override
    public FleetState load() throws IOException {
        return state.load();
    }

    @Override
    public void save(FleetState now) throws IOException {
        state.save(now);
    }

    @Override
    public long start(String name, String label, int generation) throws IOException {
        FleetConfig.Build build = config.builds().get(label);
        FleetConfig.MemberConfig member = member(name);
        if (build == null || member == null) {
            throw new IOException(build == null ? "there is no build " + label : "there is no member " + name);
        }
        List<String> command = new ArrayList<>(build.command());
        command.addAll(List.of(
                "--lock-file",
                mark(name, "lock").toString(),
                "--ready-file",
                mark(name, "ready").toString(),
                "--report-file",
                mark(name, "report").toString(),
                "--mark",
                Integer.toString(generation),
                "--stats"));
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectInput(ProcessBuilder.Redirect.from(Path.of("/dev/null").toFile()))
                .redirectOutput(
                        ProcessBuilder.Redirect.appendTo(mark(name, "log").toFile()));
        builder.environment().putAll(build.environment());
        builder.environment().put("GW_CONFIG", member.config().toString());
        builder.environment().put("GW_NAME", name);
        builder.environment().put("GW_LISTEN", member.listenText());
        Process process = builder.start();
        children.put(name, process);
        found.remove(name);
        return process.pid();
    }

    @Override
    public void terminate(String name, long pid) {
        ProcessHandle.of(pid).ifPresent(ProcessHandle::destroy);
    }

    @Override
    public void kill(String name, long pid) {
        ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly);
    }

    @Override
    public Found holder(String name) throws IOException {
        Path file = mark(name, "lock");
        if (!Files.exists(file)) {
            return null;
        }
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
            FileLock free = channel.tryLock();
            if (free != null) {
                free.release();
                return null;
            }
            JSONObject told = new JSONObject(Files.readString(file));
            return new Found(told.getLong("pid"), Integer.parseInt(told.getString("mark")));
        } catch (JSONException | NumberFormatException | OverlappingFileLockException e) {
            return null; // it has just taken the lock, and is about to write who it is
        }
    }

    @Override
    public Map<String, Integer> ended() {
        Map<String, Integer> ended = new LinkedHashMap<>();
        children.forEach((name, process) -> {
            if (!process.isAlive()) {
                ended.put(name, process.exitValue());
            }
        });
        found.forEach((name, process) -> {
            if (!process.isAlive()) {
                ended.put(name, FleetInstance.UNKNOWN_CODE);
            }
        });
        children.keySet().removeAll(ended.keySet());
        found.keySet().removeAll(ended.keySet());
        return ended;
    }

    @Override
    public void watch(String name, long pid) {
        Process child = children.get(name);
        if (child == null || child.pid() != pid) { // a child tells its code, and must be waited for
            ProcessHandle.of(pid).ifPresent(process -> found.put(name, process));
        }
    }

    @Override
    public void check(String name, int generation, Consumer<Health> answer) {
        FleetConfig.MemberConfig member = member(name);
        if (member == null) {
            answers.add(() -> answer.accept(null));
        } else {
            checks.ask(member.listen(), health -> answers.add(() -> answer.accept(health)));
        }
    }

    @Override
    public void pump() {
        for (Runnable answer = answers.poll(); answer != null; answer = answers.poll()) {
            answer.run();
        }
    }

    @Override
    public void close() {
        checks.close();
    }
}

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
import wheatspread.fleet.FleetState.RunningProcess;

/**
 * Implements the operations on the local machine. Instances log to files in the fleet's directory instead of a pipe, so
 * that they can continue to run after the supervisor exits. Each instance holds a lock file in that directory, by which
 * a later supervisor finds its process. {@link #close} stops the health checks and leaves the processes running.
 */
final class LocalHost implements HostOperations, AutoCloseable {
    private static final long MICROS_PER_MILLI = 1_000;

    private FleetConfig config;
    private final StateFile stateFile;
    private final HealthChecks checks;
    /** The processes that this supervisor started, by instance. */
    private final Map<String, Process> children = new HashMap<>();
    /** The processes that an earlier supervisor started, by instance. */
    private final Map<String, ProcessHandle> adopted = new HashMap<>();
    /** Results that are not delivered yet; the thread of the health checks adds them. */
    private final Queue<Runnable> checkResults = new ConcurrentLinkedQueue<>();

    LocalHost(FleetConfig config) throws IOException {
        this.config = config;
        Files.createDirectories(config.directory());
        stateFile = new StateFile(config.directory().resolve("state.json"));
        checks = new HealthChecks(config.checkTimeoutMicros() / MICROS_PER_MILLI);
    }

    /** Replaces the configuration after a reload of the fleet's file. */
    void reconfigure(FleetConfig next) {
        config = next;
    }

    private Path instanceFile(String instance, String extension) {
        return config.directory().resolve(instance + "." + extension);
    }

    /** Returns the configuration of an instance; null if the fleet's file does not contain it. */
    private FleetConfig.MemberConfig configOf(String name) {
        return config.members().stream()
                .filter(member -> member.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    @Override
    public FleetState loadState() throws IOException {
        return stateFile.load();
    }

    @Override
    public void saveState(FleetState state) throws IOException {
        stateFile.save(state);
    }

    @Override
    public long startProcess(String name, String label, int generation) throws IOException {
        FleetConfig.Build build = config.builds().get(label);
        FleetConfig.MemberConfig instance = configOf(name);
        if (build == null || instance == null) {
            throw new IOException(build == null ? "unknown build " + label : "unknown instance name " + name);
        }
        Process process = processBuilder(build, instance, generation).start();
        children.put(name, process);
        adopted.remove(name);
        return process.pid();
    }

    private ProcessBuilder processBuilder(FleetConfig.Build build, FleetConfig.MemberConfig instance, int generation) {
        String name = instance.name();
        List<String> command = new ArrayList<>(build.command());
        command.addAll(List.of(
                "--lock-file",
                instanceFile(name, "lock").toString(),
                "--ready-file",
                instanceFile(name, "ready").toString(),
                "--report-file",
                instanceFile(name, "report").toString(),
                "--mark",
                Integer.toString(generation),
                "--stats"));
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectInput(ProcessBuilder.Redirect.from(Path.of("/dev/null").toFile()))
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        instanceFile(name, "log").toFile()));
        builder.environment().putAll(build.environment());
        builder.environment().put("GW_CONFIG", instance.config().toString());
        builder.environment().put("GW_NAME", name);
        builder.environment().put("GW_LISTEN", instance.listenText());
        return builder;
    }

    @Override
    public void sendSigterm(String name, long pid) {
        ProcessHandle.of(pid).ifPresent(ProcessHandle::destroy);
    }

    @Override
    public void sendSigkill(String name, long pid) {
        ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly);
    }

    @Override
    public RunningProcess lockHolder(String name) throws IOException {
        Path file = instanceFile(name, "lock");
        if (!Files.exists(file)) {
            return null;
        }
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
            FileLock acquiredLock = channel.tryLock();
            if (acquiredLock != null) {
                acquiredLock.release();
                return null;
            }
            JSONObject identity = new JSONObject(Files.readString(file));
            return new RunningProcess(identity.getLong("pid"), Integer.parseInt(identity.getString("mark")));
        } catch (JSONException | NumberFormatException | OverlappingFileLockException e) {
            return null; // the process has taken the lock but has not written its identity yet
        }
    }

    @Override
    public Map<String, Integer> takeExitedProcesses() {
        Map<String, Integer> exitCodes = new LinkedHashMap<>();
        children.forEach((name, process) -> {
            if (!process.isAlive()) {
                exitCodes.put(name, process.exitValue());
            }
        });
        adopted.forEach((name, process) -> {
            if (!process.isAlive()) {
                exitCodes.put(name, FleetInstance.UNKNOWN_EXIT_CODE);
            }
        });
        children.keySet().removeAll(exitCodes.keySet());
        adopted.keySet().removeAll(exitCodes.keySet());
        return exitCodes;
    }

    @Override
    public void watchProcess(String name, long pid) {
        Process child = children.get(name);
        if (child == null || child.pid() != pid) { // a child has an exit code and must be waited for
            ProcessHandle.of(pid).ifPresent(process -> adopted.put(name, process));
        }
    }

    @Override
    public void checkHealth(String name, int generation, Consumer<Health> result) {
        FleetConfig.MemberConfig instance = configOf(name);
        if (instance == null) {
            checkResults.add(() -> result.accept(null));
        } else {
            checks.check(instance.listen(), health -> checkResults.add(() -> result.accept(health)));
        }
    }

    @Override
    public void deliverCheckResults() {
        for (Runnable delivery = checkResults.poll(); delivery != null; delivery = checkResults.poll()) {
            delivery.run();
        }
    }

    @Override
    public void close() {
        checks.close();
    }
}

package wheatspread.lab.rig;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;
import wheatspread.lab.standins.ProcessLog;
import wheatspread.lab.standins.StandInAddress;

/** One server of a rig: its files and its process, which can be paused, starved, killed and terminated. */
public final class RigServer {
    private static final long START_TIMEOUT_MS = 30_000;
    private static final long EXIT_TIMEOUT_MS = 20_000;
    private static final long SLICE_MS = 100;
    private static final int TAIL_LINES = 12;

    private final String name;
    private final List<String> command;
    private final Path config;
    private final ProcessSignals signals;
    /** The operator file; null for none. */
    private Path operator;
    /** The address of the control endpoint; null for none. */
    private InetSocketAddress controlAddress;

    private Process process;
    private ProcessLog log;
    /** The logs of all processes of this server, oldest first. */
    private final List<ProcessLog> logs = new ArrayList<>();

    /** {@code command} is the command line up to {@code serve}; {@code folder} holds the server's files. */
    RigServer(String name, List<String> command, Path folder, ProcessSignals signals) {
        this.name = name;
        this.command = List.copyOf(command);
        this.signals = signals;
        config = folder.resolve(name + ".json");
    }

    public String name() {
        return name;
    }

    /** Returns the log of the process started last; null before the first start. */
    public ProcessLog log() {
        return log;
    }

    /** Returns the log lines of all processes of this server so far. */
    public List<String> allLogLines() {
        return logs.stream().flatMap(processLog -> processLog.lines().stream()).toList();
    }

    /** Returns the last lines that the process started last has logged. */
    public String logTail() {
        List<String> lines = log.lines();
        return lines.subList(Math.max(0, lines.size() - TAIL_LINES), lines.size())
                .toString();
    }

    /** Sets the operator file and the control address that apply from the next start. */
    public void setOperatorConfig(JSONObject settings, InetSocketAddress address) throws IOException {
        operator = Files.writeString(config.resolveSibling(name + "-operator.json"), settings.toString());
        controlAddress = address;
    }

    public InetSocketAddress controlAddress() {
        return controlAddress;
    }

    /** Starts a process, with the operator file if one is set. */
    public void start() throws IOException {
        start(operator);
    }

    /** Writes the configuration atomically, with the control address if one is set. */
    void configure(JSONObject settings) throws IOException {
        if (controlAddress != null) {
            settings.put("control", StandInAddress.format(controlAddress));
        }
        Path temporary = config.resolveSibling(name + ".json.new");
        Files.writeString(temporary, settings.toString());
        Files.move(temporary, config, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Starts a process; {@code operator} is the operator file, null for none. */
    void start(Path operator) throws IOException {
        List<String> commandLine = new ArrayList<>(command);
        if (operator != null) {
            commandLine.add(operator.toString());
        }
        ProcessBuilder builder = new ProcessBuilder(commandLine).redirectErrorStream(true);
        builder.environment().put("GW_CONFIG", config.toString());
        process = builder.start();
        log = new ProcessLog(process, name);
        logs.add(log);
    }

    /** Waits until the process serves; throws an IOException with its log if it does not in time. */
    public void awaitServing() throws IOException, InterruptedException {
        if (log.await(line -> line.contains("to=SERVING"), START_TIMEOUT_MS) == null) {
            throw new IOException(name + " did not reach SERVING within " + START_TIMEOUT_MS + " ms: " + log.lines());
        }
    }

    /** Sends a signal, named without SIG. */
    public void signal(String signal) throws IOException {
        signals.send(signal, process.toHandle());
    }

    /** Stops the process for {@code millis}, then continues it. */
    public void pause(long millis) throws IOException, InterruptedException {
        signal("STOP");
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } finally {
            signal("CONT");
        }
    }

    /** Limits the process to a share of the time for {@code millis}, in slices of {@link #SLICE_MS}. */
    public void starve(double share, long millis) throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < deadlineNanos) {
            pause(Math.round(SLICE_MS * (1 - share)));
            TimeUnit.MICROSECONDS.sleep(Math.round(SLICE_MS * 1_000 * share));
        }
    }

    /** Kills the process and waits for its end. */
    public void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Sends SIGTERM and returns the exit code; -1 if the process does not exit within {@link #EXIT_TIMEOUT_MS}. */
    public int terminate() throws IOException, InterruptedException {
        signal("TERM");
        return process.waitFor(EXIT_TIMEOUT_MS, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
    }

    /** Waits for the process to exit; returns its exit code, or -1 if it does not exit within {@code millis}. */
    public int awaitExit(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
    }

    public long pid() {
        return process.pid();
    }

    public boolean isAlive() {
        return process != null && process.isAlive();
    }
}

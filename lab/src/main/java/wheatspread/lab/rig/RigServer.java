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

/** One server of a rig: its files, its process, and what may be done to it from outside. */
public final class RigServer {
    private static final long UP_MS = 30_000;
    private static final long LEAVE_MS = 20_000;
    private static final long SLICE_MS = 100;

    private final String name;
    private final List<String> command;
    private final Path config;
    private final ProcessSignals signals;
    /** Its operator's file; null for none. */
    private Path operator;
    /** Where its operators' door listens; null for none. */
    private InetSocketAddress door;

    private Process process;
    private ProcessLog log;

    /** {@code command} starts the program up to {@code serve}; {@code dir} is for its files. */
    RigServer(String name, List<String> command, Path dir, ProcessSignals signals) {
        this.name = name;
        this.command = List.copyOf(command);
        this.signals = signals;
        config = dir.resolve(name + ".json");
    }

    public String name() {
        return name;
    }

    /** Its log so far; of the process that was started last. */
    public ProcessLog log() {
        return log;
    }

    /** From its next start on it has this operator's file and a door. */
    public void setOperatorConfig(JSONObject told, InetSocketAddress at) throws IOException {
        operator = Files.writeString(config.resolveSibling(name + "-operator.json"), told.toString());
        door = at;
    }

    public InetSocketAddress controlAddress() {
        return door;
    }

    /** Starts a process, which is the next one of its name where there was one before. */
    public void start() throws IOException {
        start(operator);
    }

    /** Writes its configuration, whole at once. */
    void configure(JSONObject told) throws IOException {
        if (door != null) {
            told.put("control", StandInAddress.format(door));
        }
        Path aside = config.resolveSibling(name + ".json.new");
        Files.writeString(aside, told.toString());
        Files.move(aside, config, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Starts a process; {@code operator} is its operator's file, null for none. */
    void start(Path operator) throws IOException {
        List<String> words = new ArrayList<>(command);
        if (operator != null) {
            words.add(operator.toString());
        }
        ProcessBuilder builder = new ProcessBuilder(words).redirectErrorStream(true);
        builder.environment().put("GW_CONFIG", config.toString());
        process = builder.start();
        log = new ProcessLog(process, name);
    }

    /** Waits until it serves. */
    public void awaitServing() throws IOException, InterruptedException {
        if (log.await(line -> line.contains("to=SERVING"), UP_MS) == null) {
            throw new IOException(name + " does not start: " + log.lines());
        }
    }

    /** Sends a signal by its name without SIG. */
    public void signal(String what) throws IOException {
        signals.send(what, process.toHandle());
    }

    /** Stops the process for so long, then lets it go on. */
    public void pause(long millis) throws IOException, InterruptedException {
        signal("STOP");
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } finally {
            signal("CONT");
        }
    }

    /** Gives it only a share of the time, in slices, for so long. */
    public void starve(double share, long millis) throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < until) {
            pause(Math.round(SLICE_MS * (1 - share)));
            TimeUnit.MICROSECONDS.sleep(Math.round(SLICE_MS * 1_000 * share));
        }
    }

    /** Ends it outright. */
    public void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Gives it notice and returns its exit code; -1 where it does not leave by itself. */
    public int terminate() throws IOException, InterruptedException {
        signal("TERM");
        return process.waitFor(LEAVE_MS, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
    }

    public long pid() {
        return process.pid();
    }

    public boolean isAlive() {
        return process != null && process.isAlive();
    }
}

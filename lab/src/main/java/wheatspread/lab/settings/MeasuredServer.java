package wheatspread.lab.settings;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import org.json.JSONObject;
import wheatspread.lab.rig.ProcessFigures;
import wheatspread.lab.standins.ControlClient;
import wheatspread.lab.standins.ProcessLog;
import wheatspread.lab.standins.TemporaryFolders;

/** A server process, which may fail to start, with access to its log, counters, signals and resource use. */
final class MeasuredServer implements AutoCloseable {
    private static final long STOP_TIMEOUT_MS = 10_000;

    private final Path folder = Files.createTempDirectory("wheatspread-settings");
    private final Path configuration = folder.resolve("config.json");
    private final InetSocketAddress control;
    private final Process process;
    private final long startedNanos;
    private final ProcessLog log;

    /** The reload counters of the control port. */
    record Reloads(long applied, long refused) {
        long total() {
            return applied + refused;
        }
    }

    /**
     * {@code command} is the command line up to and including {@code serve}; the path of the operator's file is
     * appended to it; {@code control} is the configured control port.
     */
    MeasuredServer(List<String> command, JSONObject settings, JSONObject operatorSettings, InetSocketAddress control)
            throws IOException {
        this.control = control;
        configure(settings);
        List<String> commandLine = new ArrayList<>(command);
        commandLine.add(Files.writeString(folder.resolve("operator.json"), operatorSettings.toString())
                .toString());
        ProcessBuilder builder = new ProcessBuilder(commandLine).redirectErrorStream(true);
        builder.environment().put("GW_CONFIG", configuration.toString());
        startedNanos = System.nanoTime();
        process = builder.start();
        log = new ProcessLog(process, "server");
    }

    /** Replaces the server's configuration file atomically. */
    void configure(JSONObject settings) throws IOException {
        Path temporary = Files.writeString(folder.resolve("config.json.new"), settings.toString());
        Files.move(temporary, configuration, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    long configurationBytes() throws IOException {
        return Files.size(configuration);
    }

    /** Returns whether the server starts to serve within {@code millis}. */
    boolean awaitServing(long millis) throws InterruptedException {
        return log.await(line -> line.contains("to=SERVING"), millis) != null;
    }

    double secondsSinceStart() {
        return (System.nanoTime() - startedNanos) / 1e9;
    }

    /** Returns whether the control port reports readiness within {@code millis}. */
    boolean awaitReady(long millis) throws InterruptedException {
        return await(() -> ControlClient.isReady(control), millis);
    }

    /** A condition that {@link #await} polls. */
    interface Condition {
        boolean holds();
    }

    /** Polls a condition every 2 ms and returns whether it held within {@code millis}. */
    static boolean await(Condition condition, long millis) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!condition.holds()) {
            if (System.nanoTime() > deadlineNanos) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(2);
        }
        return true;
    }

    /** Returns the log so far, with the paths of the server's files reduced to their names. */
    List<String> log() {
        String parent = folder + File.separator;
        return log.lines().stream().map(line -> line.replace(parent, "")).toList();
    }

    /** Returns the last log line that names an error, else the last line, or an empty string if the log is empty. */
    String lastErrorLine() {
        List<String> lines = log();
        Pattern error = Pattern.compile("ERROR|Error|Exception");
        return lines.stream()
                .filter(line -> error.matcher(line).find() && !line.startsWith("\tat "))
                .reduce((first, last) -> last)
                .orElse(lines.isEmpty() ? "" : lines.get(lines.size() - 1));
    }

    /** Returns the number of log lines that match. */
    long countLogLines(Predicate<String> wanted) {
        return log.lines().stream().filter(wanted).count();
    }

    /** Returns the longest event-loop turn that the log reports after its first lines, in milliseconds. */
    double longestTurnMillis(int skippedLines) {
        return log.lines().stream()
                        .skip(skippedLines)
                        .filter(line -> line.contains("longest_us="))
                        .mapToLong(line -> Long.parseLong(line.replaceAll(".*longest_us=(\\d+).*", "$1")))
                        .max()
                        .orElse(0)
                / 1e3;
    }

    /** Returns the reload counters, or null if the control port does not answer. */
    Reloads reloads() {
        String vars = ControlClient.request(control, "GET /_vars");
        return vars == null ? null : new Reloads(value(vars, "reload_success"), value(vars, "reload_failure"));
    }

    private static long value(String vars, String name) {
        String key = "edge_gw." + name + '=';
        return vars.lines()
                .filter(line -> line.startsWith(key))
                .mapToLong(line -> Long.parseLong(line.substring(key.length()).trim()))
                .sum();
    }

    /** Sends SIGHUP, on which the server reads its configuration again. */
    void signalReload() throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the exit code, or -1 if the process does not end within {@code millis}. */
    int exitCode(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
    }

    /** Sends SIGTERM and returns the exit code, or -1 if the process does not end within 10 s. */
    int terminate() throws InterruptedException {
        process.destroy();
        return exitCode(STOP_TIMEOUT_MS);
    }

    double processorSeconds() throws IOException {
        return ProcessFigures.processorSeconds(process.pid());
    }

    long residentBytes() throws IOException {
        return ProcessFigures.residentBytes(process.pid());
    }

    /** Returns the peak of the resident memory since the start, or since {@link #resetPeak}. */
    long peakResidentBytes() throws IOException {
        return ProcessFigures.peakResidentBytes(process.pid());
    }

    void resetPeak() throws IOException {
        ProcessFigures.resetPeak(process.pid());
    }

    /** Returns the bytes of the objects that survive a garbage collection. */
    long liveHeapBytes() throws IOException, InterruptedException {
        return ProcessFigures.liveHeapBytes(process.pid());
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly().onExit().join();
        TemporaryFolders.delete(folder);
    }
}

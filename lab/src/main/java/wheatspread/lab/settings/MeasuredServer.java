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

/** One real server process, which may fail to start, with what can be seen of it and done to it from outside. */
final class MeasuredServer implements AutoCloseable {
    private static final long LEAVE_MS = 10_000;

    private final Path folder = Files.createTempDirectory("wheatspread-settings");
    private final Path configuration = folder.resolve("config.json");
    private final InetSocketAddress door;
    private final Process process;
    private final long startedAt;
    private final ProcessLog log;

    /** Counters of the operators' door. */
    record Reloads(long taken, long refused) {
        long all() {
            return taken + refused;
        }
    }

    /** {@code command} starts the program up to {@code serve}; {@code door} is where its configuration says. */
    MeasuredServer(List<String> command, JSONObject told, JSONObject operator, InetSocketAddress door)
            throws IOException {
        this.door = door;
        configure(told);
        List<String> words = new ArrayList<>(command);
        words.add(Files.writeString(folder.resolve("operator.json"), operator.toString())
                .toString());
        ProcessBuilder builder = new ProcessBuilder(words).redirectErrorStream(true);
        builder.environment().put("GW_CONFIG", configuration.toString());
        startedAt = System.nanoTime();
        process = builder.start();
        log = new ProcessLog(process, "server");
    }

    /** Writes its configuration, whole at once. */
    void configure(JSONObject told) throws IOException {
        Path aside = Files.writeString(folder.resolve("config.json.new"), told.toString());
        Files.move(aside, configuration, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    long configurationBytes() throws IOException {
        return Files.size(configuration);
    }

    /** Whether it serves within so many milliseconds. */
    boolean awaitServing(long millis) throws InterruptedException {
        return log.await(line -> line.contains("to=SERVING"), millis) != null;
    }

    /** How long ago the process was started. */
    double secondsSinceStart() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    /** Waits until the door says that it is ready. */
    boolean awaitReady(long millis) throws InterruptedException {
        return await(() -> ControlClient.isReady(door), millis);
    }

    /** A condition that is looked at again and again. */
    interface Condition {
        boolean holds();
    }

    /** Whether a condition held in time. */
    static boolean await(Condition condition, long millis) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!condition.holds()) {
            if (System.nanoTime() > until) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(2);
        }
        return true;
    }

    /** All it logged so far, with its files by their bare names. */
    List<String> log() {
        String parent = folder + File.separator;
        return log.lines().stream().map(line -> line.replace(parent, "")).toList();
    }

    /** Why it ended: the last line of its log that names an error, else the very last one; empty without any. */
    String lastWords() {
        List<String> lines = log();
        Pattern error = Pattern.compile("ERROR|Error|Exception");
        return lines.stream()
                .filter(line -> error.matcher(line).find() && !line.startsWith("\tat "))
                .reduce((first, last) -> last)
                .orElse(lines.isEmpty() ? "" : lines.get(lines.size() - 1));
    }

    /** How many lines of its log pass. */
    long logged(Predicate<String> wanted) {
        return log.lines().stream().filter(wanted).count();
    }

    /** The longest turn of its event loop told in the log from line {@code from} on, in milliseconds. */
    double longestTurnMillis(int from) {
        return log.lines().stream()
                        .skip(from)
                        .filter(line -> line.contains("longest_us="))
                        .mapToLong(line -> Long.parseLong(line.replaceAll(".*longest_us=(\\d+).*", "$1")))
                        .max()
                        .orElse(0)
                / 1e3;
    }

    /** The reloads it has counted; null where its door does not answer. */
    Reloads reloads() {
        String vars = ControlClient.request(door, "GET /_vars");
        return vars == null ? null : new Reloads(value(vars, "reload_success"), value(vars, "reload_failure"));
    }

    private static long value(String vars, String name) {
        String key = "edge_gw." + name + '=';
        return vars.lines()
                .filter(line -> line.startsWith(key))
                .mapToLong(line -> Long.parseLong(line.substring(key.length()).trim()))
                .sum();
    }

    /** Asks it to read its configuration again. */
    void hangUp() throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Its exit code; -1 where it has not ended in time. */
    int exitCode(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
    }

    /** Gives it notice and returns its exit code; -1 where it does not leave by itself. */
    int leave() throws InterruptedException {
        process.destroy();
        return exitCode(LEAVE_MS);
    }

    /** The processor time it has used so far. */
    double processorSeconds() throws IOException {
        return ProcessFigures.processorSeconds(process.pid());
    }

    long residentBytes() throws IOException {
        return ProcessFigures.residentBytes(process.pid());
    }

    /** The most resident memory since the start, or since {@link #resetPeak}. */
    long peakResidentBytes() throws IOException {
        return ProcessFigures.peakResidentBytes(process.pid());
    }

    void resetPeak() throws IOException {
        ProcessFigures.resetPeak(process.pid());
    }

    /** The bytes of all objects that a collection leaves. */
    long liveHeapBytes() throws IOException, InterruptedException {
        return ProcessFigures.liveHeapBytes(process.pid());
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly().onExit().join();
        TemporaryFolders.delete(folder);
    }
}

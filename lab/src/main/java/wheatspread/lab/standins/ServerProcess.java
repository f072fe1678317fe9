package wheatspread.lab.standins;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.json.JSONObject;

/** Runs a server in a separate process, on one core if wanted, and reads its CPU time, memory and log. */
public final class ServerProcess implements AutoCloseable {
    private static final int CLOCK_TICKS_PER_SECOND = 100;
    private static final long START_TIMEOUT_MS = 30_000;

    private final Process process;
    private final ProcessLog log;
    private final List<String> ports = new ArrayList<>();

    /**
     * Starts the jar's {@code serve} command and waits until the server serves. {@code operator} is the text of an
     * operator file, null for none; {@code flags} are JVM flags; {@code core} is the core to run on, -1 for any.
     * Throws an IOException with the log if the server does not serve within {@link #START_TIMEOUT_MS}.
     */
    public ServerProcess(Path jar, JSONObject config, String operator, List<String> flags, int core)
            throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("wheatspread-lab");
        Files.writeString(folder.resolve("config.json"), config.toString());
        List<String> command = new ArrayList<>();
        if (core >= 0) {
            command.addAll(List.of("taskset", "-c", Integer.toString(core)));
        }
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(flags);
        command.addAll(List.of("-jar", jar.toString(), "serve"));
        if (operator != null) {
            command.add(
                    Files.writeString(folder.resolve("operator.json"), operator).toString());
        }
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("GW_CONFIG", folder.resolve("config.json").toString());
        process = builder.start();
        log = new ProcessLog(process, "server");
        // older builds of the server log "phase SERVING" instead
        if (log.await(line -> line.contains("to=SERVING") || line.contains("phase SERVING"), START_TIMEOUT_MS)
                == null) {
            throw new IOException("server did not reach SERVING within " + START_TIMEOUT_MS + " ms: " + log.lines());
        }
        Matcher matcher = Pattern.compile("/127\\.0\\.0\\.1:(\\d+)")
                .matcher(log.await(line -> line.contains("listening "), START_TIMEOUT_MS));
        while (matcher.find()) {
            ports.add(matcher.group(1));
        }
    }

    public long pid() {
        return process.pid();
    }

    /** Returns the lines logged so far. */
    public List<String> log() {
        return log.lines();
    }

    /** Returns a listening port by index: the uwsgi front's comes first if enabled, then the JSON-RPC front's. */
    public int port(int front) {
        return Integer.parseInt(ports.get(front));
    }

    /** Returns the CPU time used so far in milliseconds, by proc(5). */
    public double cpuMillis() throws IOException {
        return millis(Files.readString(Path.of("/proc/" + process.pid() + "/stat")));
    }

    private static double millis(String stat) {
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) * 1000.0 / CLOCK_TICKS_PER_SECOND;
    }

    /** Returns the CPU time of the event loop threads so far in milliseconds, without the JVM's other threads. */
    public double eventLoopCpuMillis() throws IOException {
        double millis = 0;
        try (Stream<Path> tasks = Files.list(Path.of("/proc/" + process.pid() + "/task"))) {
            for (Path task : tasks.toList()) {
                String stat = Files.readString(task.resolve("stat"));
                if (stat.contains("(multiThreadIo")) {
                    millis += millis(stat);
                }
            }
        }
        return millis;
    }

    /** Returns the resident memory in KB; 0 if the process status has no such line. */
    public long residentKb() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("\\D", ""));
            }
        }
        return 0;
    }

    /** Returns the bytes of all reachable objects, by the JVM's class histogram, which collects garbage first. */
    public long liveBytes() throws IOException, InterruptedException {
        String totalLine = "";
        for (String line : jcmd("GC.class_histogram")) {
            totalLine = line.startsWith("Total") ? line : totalLine;
        }
        return Long.parseLong(totalLine.trim().split("\\s+")[2]);
    }

    /** Runs a jcmd diagnostic command on the process and returns the lines of its output. */
    public List<String> jcmd(String... arguments) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(), Long.toString(process.pid())));
        command.addAll(List.of(arguments));
        File out = File.createTempFile("jcmd", ".txt");
        new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(out)
                .start()
                .waitFor();
        List<String> lines = Files.readAllLines(out.toPath());
        Files.delete(out.toPath());
        return lines;
    }

    /** Sends SIGTERM and returns whether the process exited within 20 s. */
    public boolean terminate() throws InterruptedException {
        process.toHandle().destroy(); // Process.destroy would close the stream that the log is read from
        return process.waitFor(20, TimeUnit.SECONDS);
    }

    /** Returns the exit code of the process, which has exited. */
    public int exitCode() {
        return process.exitValue();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}

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

/** A server as a process of its own, on one core, with what can be seen of it from outside. */
public final class ServerProcess implements AutoCloseable {
    private static final int TICKS_PER_SECOND = 100;
    private static final long UP_MS = 30_000;

    private final Process process;
    private final ProcessLog log;
    private final List<String> addresses = new ArrayList<>();

    /**
     * Starts {@code serve} of a jar. {@code operator} is the text of an operator's file, null for none;
     * {@code core} is the core to run on, -1 for any.
     */
    public ServerProcess(Path jar, JSONObject config, String operator, List<String> flags, int core)
            throws IOException, InterruptedException {
        Path dir = Files.createTempDirectory("wheatspread-lab");
        Files.writeString(dir.resolve("config.json"), config.toString());
        List<String> command = new ArrayList<>();
        if (core >= 0) {
            command.addAll(List.of("taskset", "-c", Integer.toString(core)));
        }
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(flags);
        command.addAll(List.of("-jar", jar.toString(), "serve"));
        if (operator != null) {
            command.add(
                    Files.writeString(dir.resolve("operator.json"), operator).toString());
        }
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("GW_CONFIG", dir.resolve("config.json").toString());
        process = builder.start();
        log = new ProcessLog(process, "server");
        // an older build of the server said it in other words
        if (log.await(line -> line.contains("to=SERVING") || line.contains("phase SERVING"), UP_MS) == null) {
            throw new IOException("the server does not start: " + log.lines());
        }
        Matcher matcher = Pattern.compile("/127\\.0\\.0\\.1:(\\d+)")
                .matcher(log.await(line -> line.contains("listening "), UP_MS));
        while (matcher.find()) {
            addresses.add(matcher.group(1));
        }
    }

    /** All it logged so far. */
    public List<String> log() {
        return log.lines();
    }

    /** Its ports: the uwsgi front's first where that is on, then the platform's. */
    public int port(int front) {
        return Integer.parseInt(addresses.get(front));
    }

    /** The CPU it has used so far, in milliseconds, by proc(5). */
    public double cpuMillis() throws IOException {
        return millis(Files.readString(Path.of("/proc/" + process.pid() + "/stat")));
    }

    private static double millis(String stat) {
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) * 1000.0 / TICKS_PER_SECOND;
    }

    /** The CPU its event loop has used so far, in milliseconds; the JVM's own threads are left out. */
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

    /** Its resident memory, in KB. */
    public long residentKb() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("\\D", ""));
            }
        }
        return 0;
    }

    /**
     * The bytes of all objects that are reachable, by a histogram of the JVM, which collects garbage first.
     */
    public long liveBytes() throws IOException, InterruptedException {
        String last = "";
        for (String line : jcmd("GC.class_histogram")) {
            last = line.startsWith("Total") ? line : last;
        }
        return Long.parseLong(last.trim().split("\\s+")[2]);
    }

    /** The lines of a diagnostic command of the JDK. */
    public List<String> jcmd(String... words) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(), Long.toString(process.pid())));
        command.addAll(List.of(words));
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

    /** Asks it to leave, and returns whether it went by itself. */
    public boolean terminate() throws InterruptedException {
        process.destroy();
        return process.waitFor(20, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}

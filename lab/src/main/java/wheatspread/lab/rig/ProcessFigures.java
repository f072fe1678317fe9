package wheatspread.lab.rig;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Reads CPU time, memory and descriptors of a running process, from /proc and with the JDK's tools. */
public final class ProcessFigures {
    private static final double CLOCK_TICKS_PER_S = 100;
    private static final int USER_TICKS_FIELD = 11;
    private static final int SYSTEM_TICKS_FIELD = 12;
    private static final long KILOBYTE_BYTES = 1_024;
    /** Value that resets the peak resident memory when written to {@code /proc/PID/clear_refs}, by proc(5). */
    private static final String RESET_PEAK_VALUE = "5";

    private ProcessFigures() {}

    /** Returns the user and system CPU time since the process's start, in seconds. */
    public static double processorSeconds(long pid) throws IOException {
        String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[SYSTEM_TICKS_FIELD]))
                / CLOCK_TICKS_PER_S;
    }

    /** Returns the resident memory in bytes. */
    public static long residentBytes(long pid) throws IOException {
        return statusBytes(pid, "VmRSS:");
    }

    /** Returns the peak resident memory in bytes since the start or the last {@link #resetPeak}. */
    public static long peakResidentBytes(long pid) throws IOException {
        return statusBytes(pid, "VmHWM:");
    }

    /** Resets the peak resident memory to the current resident memory. */
    public static void resetPeak(long pid) throws IOException {
        Files.writeString(Path.of("/proc/" + pid + "/clear_refs"), RESET_PEAK_VALUE);
    }

    private static long statusBytes(long pid, String key) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
            if (line.startsWith(key)) {
                return Long.parseLong(line.replaceAll("\\D", "")) * KILOBYTE_BYTES;
            }
        }
        throw new IOException("/proc/" + pid + "/status has no line " + key);
    }

    /** Returns the bytes of the Java heap after a full collection, which stops the process meanwhile. */
    public static long liveHeapBytes(long pid) throws IOException, InterruptedException {
        Path jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd");
        Process tool = new ProcessBuilder(jcmd.toString(), Long.toString(pid), "GC.class_histogram")
                .redirectErrorStream(true)
                .start();
        String histogram = new String(tool.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        tool.waitFor();
        return histogram
                .lines()
                .filter(line -> line.startsWith("Total"))
                .mapToLong(line -> Long.parseLong(line.trim().split("\\s+")[2]))
                .findFirst()
                .orElseThrow(() -> new IOException("jcmd printed no heap total for process " + pid));
    }

    /** Returns the number of open descriptors. */
    public static int descriptors(long pid) throws IOException {
        try (Stream<Path> open = Files.list(Path.of("/proc/" + pid + "/fd"))) {
            return (int) open.count();
        }
    }
}

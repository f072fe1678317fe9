package wheatspread.lab.rig;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** What the system and the JDK's tools tell of a running process, by its process id. */
public final class ProcessFigures {
    private static final double TICKS_PER_S = 100;
    private static final int USER_TICKS = 11;
    private static final int SYSTEM_TICKS = 12;
    private static final long KILOBYTE = 1_024;
    /** Written to {@code /proc/PID/clear_refs}, it sets the peak of the resident memory back, by proc(5). */
    private static final String RESET_PEAK = "5";

    private ProcessFigures() {}

    /** Processor time used since its start, of user and system, in seconds. */
    public static double processorSeconds(long pid) throws IOException {
        String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_TICKS]) + Long.parseLong(fields[SYSTEM_TICKS])) / TICKS_PER_S;
    }

    /** Resident bytes. */
    public static long residentBytes(long pid) throws IOException {
        return statusBytes(pid, "VmRSS:");
    }

    /** The most resident bytes since the start, or since {@link #resetPeak}. */
    public static long peakResidentBytes(long pid) throws IOException {
        return statusBytes(pid, "VmHWM:");
    }

    /** Sets the peak of the resident memory back to what is resident now. */
    public static void resetPeak(long pid) throws IOException {
        Files.writeString(Path.of("/proc/" + pid + "/clear_refs"), RESET_PEAK);
    }

    private static long statusBytes(long pid, String key) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
            if (line.startsWith(key)) {
                return Long.parseLong(line.replaceAll("\\D", "")) * KILOBYTE;
            }
        }
        throw new IOException("the status of process " + pid + " has no " + key);
    }

    /** Bytes of the Java heap that a full collection leaves; the collection stops the process meanwhile. */
    public static long liveHeapBytes(long pid) throws IOException, InterruptedException {
        Path jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd");
        Process tool = new ProcessBuilder(jcmd.toString(), Long.toString(pid), "GC.class_histogram")
                .redirectErrorStream(true)
                .start();
        String told = new String(tool.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        tool.waitFor();
        return told.lines()
                .filter(line -> line.startsWith("Total"))
                .mapToLong(line -> Long.parseLong(line.trim().split("\\s+")[2]))
                .findFirst()
                .orElseThrow(() -> new IOException("jcmd says nothing of process " + pid + "'s heap"));
    }

    /** Open descriptors. */
    public static int descriptors(long pid) throws IOException {
        try (Stream<Path> open = Files.list(Path.of("/proc/" + pid + "/fd"))) {
            return (int) open.count();
        }
    }
}

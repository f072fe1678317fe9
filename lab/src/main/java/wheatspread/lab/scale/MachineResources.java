package wheatspread.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** The resources of this machine and their current use. */
final class MachineResources {
    /** Index of the idle time among the values of the {@code cpu} line of {@code /proc/stat}. */
    private static final int IDLE = 3;

    /** Index of the I/O wait time, likewise. */
    private static final int IO_WAIT = 4;

    private MachineResources() {}

    /** Processor time of the whole machine since boot, in clock ticks. */
    record Ticks(long busy, long total) {
        /** Processor time used since {@code earlier}, in percent of all cores; 0 if no tick has passed. */
        double percentSince(Ticks earlier) {
            return total == earlier.total ? 0 : 100.0 * (busy - earlier.busy) / (total - earlier.total);
        }
    }

    static Ticks ticks() throws IOException {
        String line = Files.readAllLines(Path.of("/proc/stat")).get(0);
        String[] fields = line.trim().split("\\s+");
        long total = 0;
        for (int i = 1; i < fields.length; i++) {
            total += Long.parseLong(fields[i]);
        }
        return new Ticks(total - Long.parseLong(fields[1 + IDLE]) - Long.parseLong(fields[1 + IO_WAIT]), total);
    }

    /** Number of processes that run or wait to run, averaged over the last minute. */
    static double loadAverage() throws IOException {
        return Double.parseDouble(Files.readString(Path.of("/proc/loadavg")).split(" ")[0]);
    }

    static int cores() {
        return Runtime.getRuntime().availableProcessors();
    }

    /** Returns a value of {@code /proc/meminfo}, such as {@code MemTotal}, in MB. */
    static long memoryMb(String name) throws IOException {
        return number(Files.readAllLines(Path.of("/proc/meminfo")), name) / 1_024;
    }

    /** Largest number of descriptors that a process may open. */
    static long maxDescriptors() throws IOException {
        return number(Files.readAllLines(Path.of("/proc/self/limits")), "Max open files");
    }

    private static long number(List<String> lines, String name) throws IOException {
        for (String line : lines) {
            if (line.startsWith(name)) {
                String first =
                        line.substring(name.length()).replace(':', ' ').trim().split("\\s+")[0];
                return first.equals("unlimited") ? Long.MAX_VALUE : Long.parseLong(first);
            }
        }
        throw new IOException("no line of /proc starts with " + name);
    }
}

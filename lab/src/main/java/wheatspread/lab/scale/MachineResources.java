package wheatspread.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** What this machine has, and how busy it is. */
final class MachineResources {
    private static final int IDLE = 3;
    private static final int WAITING = 4;

    private MachineResources() {}

    /** Processor time of the whole machine so far, in ticks. */
    record Ticks(long busy, long all) {
        /** The share of processor time in use since an earlier moment, in percent of all cores. */
        double percentSince(Ticks earlier) {
            return all == earlier.all ? 0 : 100.0 * (busy - earlier.busy) / (all - earlier.all);
        }
    }

    static Ticks ticks() throws IOException {
        String line = Files.readAllLines(Path.of("/proc/stat")).get(0);
        String[] fields = line.trim().split("\\s+");
        long all = 0;
        for (int i = 1; i < fields.length; i++) {
            all += Long.parseLong(fields[i]);
        }
        return new Ticks(all - Long.parseLong(fields[1 + IDLE]) - Long.parseLong(fields[1 + WAITING]), all);
    }

    /** Processes that run or wait to run, mean of the last minute. */
    static double loadAverage() throws IOException {
        return Double.parseDouble(Files.readString(Path.of("/proc/loadavg")).split(" ")[0]);
    }

    static int cores() {
        return Runtime.getRuntime().availableProcessors();
    }

    /** A line of {@code /proc/meminfo}, such as {@code MemTotal}, in MB. */
    static long memoryMb(String name) throws IOException {
        return number(Files.readAllLines(Path.of("/proc/meminfo")), name) / 1_024;
    }

    /** How many descriptors a process may open. */
    static long mostDescriptors() throws IOException {
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
        throw new IOException("the system does not tell " + name);
    }
}

package wheatspread.config;

import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Set;

/**
 * What a supervisor wants of a process. Paths are null where nothing is to be written.
 *
 * @param readyFile is there from the first moment at which the server is well until the notice to leave
 * @param lockFile is locked while the process lives, and holds its number; a second process ends at once
 * @param reportFile gets the report of the drain
 * @param kernelWait how long the kernel may take to come up before the process gives up, in microseconds; 0
 * for
 *     ever
 */
public record LifeConfig(Path readyFile, Path lockFile, Path reportFile, long kernelWait) {
    /** What holds where a file says nothing, as on the platform. */
    public static final LifeConfig USUAL = new LifeConfig(null, null, null, 0);

    static LifeConfig read(JsonFields told) {
        told.only(Set.of("ready_file", "lock_file", "report_file", "kernel_wait_ms"));
        return new LifeConfig(
                path(told, "ready_file"),
                path(told, "lock_file"),
                path(told, "report_file"),
                told.micros("kernel_wait_ms", 0, 0));
    }

    private static Path path(JsonFields told, String key) {
        String text = told.text(key, "");
        try {
            return text.isEmpty() ? null : Path.of(text);
        } catch (InvalidPathException e) {
            return told.fault(key, "is no path: " + text, null);
        }
    }

    /** This, with what the command line says going over it; null where it says nothing. */
    public LifeConfig with(Path ready, Path lock, Path report) {
        return new LifeConfig(
                ready == null ? readyFile : ready,
                lock == null ? lockFile : lock,
                report == null ? reportFile : report,
                kernelWait);
    }
}

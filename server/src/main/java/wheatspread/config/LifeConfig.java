package wheatspread.config;

import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Set;

/**
 * What a supervisor needs from a process. Paths are null if nothing is to be written.
 *
 * @param readyFile exists from the moment the server is healthy until it starts to drain
 * @param lockFile is locked while the process runs and holds its process id; a second process ends at once
 * @param reportFile gets the report of the graceful shutdown
 * @param kernelTimeoutMicros how long the kernel may take to come up before the process ends, in microseconds; 0 for no
 *     limit
 */
public record LifeConfig(Path readyFile, Path lockFile, Path reportFile, long kernelTimeoutMicros) {
    /** The defaults, which hold on the platform. */
    public static final LifeConfig DEFAULT = new LifeConfig(null, null, null, 0);

    static LifeConfig read(JsonFields fields) {
        fields.requireKnownKeys(Set.of("ready_file", "lock_file", "report_file", "kernel_wait_ms"));
        return new LifeConfig(
                path(fields, "ready_file"),
                path(fields, "lock_file"),
                path(fields, "report_file"),
                fields.micros("kernel_wait_ms", 0, 0));
    }

    private static Path path(JsonFields fields, String key) {
        String text = fields.text(key, "");
        try {
            return text.isEmpty() ? null : Path.of(text);
        } catch (InvalidPathException e) {
            return fields.report(key, "is no path: " + text, null);
        }
    }

    /** These settings with the overrides of the command line; null for no override. */
    public LifeConfig with(Path ready, Path lock, Path report) {
        return new LifeConfig(
                ready == null ? readyFile : ready,
                lock == null ? lockFile : lock,
                report == null ? reportFile : report,
                kernelTimeoutMicros);
    }
}

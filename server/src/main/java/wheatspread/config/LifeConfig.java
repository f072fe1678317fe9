package wheatspread.config;

import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Set;

/**
 * The settings of the server process for its supervisor. The path of a file that is not written is null.
 *
 * @param readyFile a file that exists while the server is healthy and not draining
 * @param lockFile a file that is locked while the process runs and contains its process id; a second process exits
 * @param reportFile a file for the report of the graceful shutdown
 * @param kernelTimeoutMicros the time limit for the kernel to become ready, after which the process exits, in
 *     microseconds; 0 for no limit
 */
public record LifeConfig(Path readyFile, Path lockFile, Path reportFile, long kernelTimeoutMicros) {
    /** The defaults, which apply on the platform. */
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
            return fields.report(key, "is not a valid path: " + text, null);
        }
    }

    /** Returns these settings with the overrides of the command line; null for no override. */
    public LifeConfig with(Path ready, Path lock, Path report) {
        return new LifeConfig(
                ready == null ? readyFile : ready,
                lock == null ? lockFile : lock,
                report == null ? reportFile : report,
                kernelTimeoutMicros);
    }
}

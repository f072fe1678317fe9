package wheatspread.config;

import java.util.Map;
import java.util.Set;

/**
 * How the log is written.
 *
 * @param json whether lines are JSON objects or text
 * @param level the lowest level that is written
 * @param maxRepeats how many events of one name are written within the window; 0 for all
 * @param repeatWindowMicros the length of the window in microseconds
 */
public record LogConfig(boolean json, String level, int maxRepeats, long repeatWindowMicros) {
    /** The defaults. */
    public static final LogConfig DEFAULT = new LogConfig(false, "info", 20, 10_000_000);

    static LogConfig read(JsonFields fields) {
        fields.requireKnownKeys(Set.of("format", "level", "repeats", "repeats_ms"));
        return new LogConfig(
                fields.oneOf("format", Map.of("json", true, "text", false), DEFAULT.json),
                fields.oneOf(
                        "level",
                        Map.of("debug", "debug", "info", "info", "warn", "warn", "error", "error"),
                        DEFAULT.level),
                fields.integer("repeats", DEFAULT.maxRepeats, 0, 1_000_000),
                fields.micros("repeats_ms", DEFAULT.repeatWindowMicros, 1));
    }
}

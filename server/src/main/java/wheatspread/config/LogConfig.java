package wheatspread.config;

import java.util.Map;
import java.util.Set;

/**
 * The format, the level and the rate limit of the log.
 *
 * @param json true for lines of JSON, false for lines of text
 * @param level the lowest level that is logged
 * @param maxRepeats the maximum number of events of one name within the window; 0 for no limit
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

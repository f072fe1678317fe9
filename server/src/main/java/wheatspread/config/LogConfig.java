package wheatspread.config;

import java.util.Map;
import java.util.Set;

/**
 * How the log is written.
 *
 * @param json whether lines are JSON objects or text
 * @param level the lowest level that is written
 * @param repeats how many events of one name are written within the window; 0 for all
 * @param window the length of the window in microseconds
 */
public record LogConfig(boolean json, String level, int repeats, long window) {
    /** The defaults. */
    public static final LogConfig USUAL = new LogConfig(false, "info", 20, 10_000_000);

    static LogConfig read(JsonFields fields) {
        fields.only(Set.of("format", "level", "repeats", "repeats_ms"));
        return new LogConfig(
                fields.word("format", Map.of("json", true, "text", false), USUAL.json),
                fields.word(
                        "level",
                        Map.of("debug", "debug", "info", "info", "warn", "warn", "error", "error"),
                        USUAL.level),
                fields.integer("repeats", USUAL.repeats, 0, 1_000_000),
                fields.micros("repeats_ms", USUAL.window, 1));
    }
}

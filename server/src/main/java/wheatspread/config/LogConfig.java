package wheatspread.config;

import java.util.Map;
import java.util.Set;

/**
 * How the log is written: {@code json} or text, the least level, and how many events of one name are written
 * in {@code window} microseconds, 0 for all.
 */
public record LogConfig(boolean json, String level, int repeats, long window) {
    /** What holds where a file says nothing. */
    public static final LogConfig USUAL = new LogConfig(false, "info", 20, 10_000_000);

    static LogConfig read(JsonFields told) {
        told.only(Set.of("format", "level", "repeats", "repeats_ms"));
        return new LogConfig(
                told.word("format", Map.of("json", true, "text", false), USUAL.json),
                told.word(
                        "level",
                        Map.of("debug", "debug", "info", "info", "warn", "warn", "error", "error"),
                        USUAL.level),
                told.integer("repeats", USUAL.repeats, 0, 1_000_000),
                told.micros("repeats_ms", USUAL.window, 1));
    }
}

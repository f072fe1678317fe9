package wheatspread.logging;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Where the program says what happened: one name for each thing an operator may look for, and fields in place
 * of sentences. Names are words joined by underscores and never change their meaning; docs/operating/log.md
 * lists them. Nothing is logged for each request.
 */
public interface EventLog {
    /**
     * How much an event matters: INFO for what is usual, WARN for what should be looked at, ERROR for a
     * fault.
     */
    enum Level {
        DEBUG,
        INFO,
        WARN,
        ERROR
    }

    /** A log that keeps nothing. */
    EventLog NONE = (level, event, fields) -> {};

    /** {@code fields} are names and values in turns; an odd last one is a name without a value. */
    void log(Level level, String event, Object... fields);

    default void info(String event, Object... fields) {
        log(Level.INFO, event, fields);
    }

    default void warn(String event, Object... fields) {
        log(Level.WARN, event, fields);
    }

    default void error(String event, Object... fields) {
        log(Level.ERROR, event, fields);
    }

    /** A log of lines as {@link #line} writes them, for tests and for programs that read them on. */
    static EventLog lines(Consumer<String> to) {
        return (level, event, fields) -> to.accept(line(event, fields));
    }

    /** The same names and values, in their order; values may be null. */
    static Map<String, Object> map(Object... fields) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i + 1 < fields.length; i += 2) {
            map.put(String.valueOf(fields[i]), fields[i + 1]);
        }
        return map;
    }

    /** The event with its fields as {@code event name=value}; values with blanks stand in quotes. */
    static String line(String event, Object... fields) {
        StringBuilder text = new StringBuilder(event);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            String value = String.valueOf(fields[i + 1]);
            boolean plain = !value.isEmpty() && value.chars().noneMatch(c -> c <= ' ' || c == '"' || c == '=');
            text.append(' ')
                    .append(fields[i])
                    .append('=')
                    .append(
                            plain
                                    ? value
                                    : '"'
                                            + value.replace("\\", "\\\\")
                                                    .replace("\"", "\\\"")
                                                    .replace("\n", "\\n")
                                                    .replace("\r", "\\r")
                                            + '"');
        }
        return text.toString();
    }
}

package wheatspread.logging;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The log of events for operators. An event has a name that can be searched for, and fields instead of a sentence.
 * Names are words joined by underscores, and their meaning never changes; docs/operating/log.md lists them. Nothing is
 * logged per request.
 */
public interface EventLog {
    /**
     * The severity of an event: INFO for normal operation, WARN for a condition that operators should examine,
     * ERROR for a fault.
     */
    enum Level {
        DEBUG,
        INFO,
        WARN,
        ERROR
    }

    /** A log that discards every event. */
    EventLog NONE = (level, event, fields) -> {};

    /** Logs an event; {@code fields} are alternating names and values. */
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

    /** Returns a log that passes events, formatted by {@link #line}, to a receiver such as a test. */
    static EventLog lines(Consumer<String> receiver) {
        return (level, event, fields) -> receiver.accept(line(event, fields));
    }

    /** Converts alternating names and values to a map in the same order; values may be null. */
    static Map<String, Object> map(Object... fields) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i + 1 < fields.length; i += 2) {
            map.put(String.valueOf(fields[i]), fields[i + 1]);
        }
        return map;
    }

    /** Formats an event as {@code event name=value}; values with special characters are quoted. */
    static String line(String event, Object... fields) {
        StringBuilder text = new StringBuilder(event);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            text.append(' ').append(fields[i]).append('=').append(quoteIfNeeded(String.valueOf(fields[i + 1])));
        }
        return text.toString();
    }

    private static String quoteIfNeeded(String value) {
        boolean plain = !value.isEmpty() && value.chars().noneMatch(c -> c <= ' ' || c == '"' || c == '=');
        if (plain) {
            return value;
        }
        String escaped = value.replace("\\", "\\\\")
                .replace("\"", "\\\"")
                .replace("\n", "\\n")
                .replace("\r", "\\r");
        return '"' + escaped + '"';
    }
}

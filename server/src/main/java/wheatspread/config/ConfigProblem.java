package wheatspread.config;

import java.util.List;
import java.util.Map;

/**
 * A fault in the settings.
 *
 * @param file the file with the fault; null if the settings do not come from a file
 * @param line the line of the key; 0 if it is unknown
 * @param key the path of the faulty key; null if the fault is not about one key
 * @param value the faulty value as text; null if there is none
 * @param allowed the allowed values; null if the message alone says what is wrong
 * @param message the complete message, with file, line and key if they are known
 */
public record ConfigProblem(String file, int line, String key, String value, String allowed, String message) {
    /** Messages shorten values that are longer than this. */
    private static final int MAX_VALUE_CHARS = 64;

    /** Creates a fault that does not concern a single key. */
    static ConfigProblem general(String message) {
        return new ConfigProblem(null, 0, null, null, null, message);
    }

    /** Returns the text of a value for messages: shortened, and only the type of an object or list. */
    static String format(Object value) {
        if (value instanceof Map) {
            return "an object";
        }
        if (value instanceof List || value instanceof ListReader) {
            return "a list";
        }
        String text = String.valueOf(value);
        return text.length() <= MAX_VALUE_CHARS
                ? text
                : text.substring(0, MAX_VALUE_CHARS) + "... (" + text.length() + " characters)";
    }
}

package wheatspread.config;

import java.util.List;
import java.util.Map;

/**
 * One fault in the settings.
 *
 * @param file the file it is in; null where the settings come from no file
 * @param line the line that the key is on; 0 if it is not known
 * @param key the path of the faulty key; null if the fault is not about one key
 * @param value the faulty value as text; null if there is none
 * @param allowed the allowed values; null if the message alone says what is wrong
 * @param message the whole text that operators see
 */
public record ConfigProblem(String file, int line, String key, String value, String allowed, String message) {
    /** A message shows only the beginning of a longer value. */
    private static final int MAX_SHOWN_CHARS = 64;

    /** A fault that is not about one key. */
    static ConfigProblem general(String message) {
        return new ConfigProblem(null, 0, null, null, null, message);
    }

    /** A value as messages show it. */
    static String shown(Object value) {
        if (value instanceof Map) {
            return "an object";
        }
        if (value instanceof List || value instanceof ListReader) {
            return "a list";
        }
        String text = String.valueOf(value);
        return text.length() <= MAX_SHOWN_CHARS
                ? text
                : text.substring(0, MAX_SHOWN_CHARS) + "... (" + text.length() + " characters)";
    }
}

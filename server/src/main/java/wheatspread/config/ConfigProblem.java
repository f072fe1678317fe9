package wheatspread.config;

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
    /** A fault that is not about one key. */
    static ConfigProblem general(String message) {
        return new ConfigProblem(null, 0, null, null, null, message);
    }
}

package wheatspread.config;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The file that settings come from: the line of each key, the faults found, and the settings that hold with
 * their origins. A whole file is read before its faults are thrown, so that all of them are. In a large list,
 * the lines of an element are known while it is read, and only the first elements are recorded as settings.
 */
public final class SettingsSource {
    /** How many elements of a large list are recorded one by one. */
    static final int MAX_RECORDED_ELEMENTS = 32;
    /** A longer message is cut. */
    private static final int MAX_MESSAGE_CHARS = 1_000;

    private final String file;
    private final Map<String, Integer> lines = new HashMap<>();
    private final Map<String, Integer> elementLines = new HashMap<>();
    private final ConfigProblems problems = new ConfigProblems();
    private final Map<String, Setting> settings = new LinkedHashMap<>();
    /** By key, the variable or option whose value replaces that of the file. */
    private final Map<String, String> overrides = new LinkedHashMap<>();

    private boolean inElement;
    private boolean recording = true;

    /** One value that holds, and where it comes from: {@code FILE:LINE}, a variable, or {@code default}. */
    public record Setting(String key, Object value, String origin) {}

    SettingsSource(String file) {
        this.file = file;
    }

    /** The name of the file, as it was given. */
    public String file() {
        return file;
    }

    /** The keys from now on belong to an element of a large list. */
    void beginElement(int index) {
        inElement = true;
        recording = index < MAX_RECORDED_ELEMENTS;
        elementLines.clear();
    }

    void endElements() {
        inElement = false;
        recording = true;
        elementLines.clear();
    }

    /** Records the line that a key is on. */
    void recordLine(String key, int line) {
        (inElement ? elementLines : lines).put(key, line);
    }

    /** Records that a variable or an option replaces the value of a key. */
    void recordOverride(String key, String origin) {
        overrides.put(key, origin);
    }

    /** The line that a key is on; 0 if it is not known. */
    int line(String key) {
        Integer line = elementLines.get(key);
        return line == null ? lines.getOrDefault(key, 0) : line;
    }

    /** The location of a key, or of the nearest enclosing object that is in the file. */
    String location(String key) {
        if (overrides.containsKey(key)) {
            return overrides.get(key);
        }
        int line = nearestLine(key);
        return line > 0 ? file + ":" + line : file;
    }

    private int nearestLine(String key) {
        for (String path = key; !path.isEmpty(); path = enclosing(path)) {
            if (line(path) > 0) {
                return line(path);
            }
        }
        return 0;
    }

    private static String enclosing(String key) {
        return key.substring(0, Math.max(0, Math.max(key.lastIndexOf('.'), key.lastIndexOf('['))));
    }

    /** Reports a fault; {@code problem} continues a sentence that begins with the key. */
    void report(String key, String value, String allowed, String problem) {
        String message = location(key) + ": " + key + " " + problem;
        if (message.length() > MAX_MESSAGE_CHARS) {
            message = message.substring(0, MAX_MESSAGE_CHARS) + "...";
        }
        problems.add(new ConfigProblem(file, nearestLine(key), key, value, allowed, message));
    }

    /** Whether what is read now is to be recorded as a setting that holds. */
    boolean recordsSettings() {
        return recording;
    }

    void recordSetting(String key, Object value, boolean given) {
        settings.put(key, new Setting(key, value, given ? location(key) : "default"));
    }

    /** The messages of the faults; of very many the first ones. */
    public List<String> messages() {
        return problems.messages();
    }

    /** The settings that hold, in the order in which they were read. */
    public List<Setting> settings() {
        return List.copyOf(settings.values());
    }

    /** Throws all faults together, if there are any. */
    void throwIfInvalid() {
        if (!problems.isEmpty()) {
            throw new JsonFields.InvalidValueException(problems);
        }
    }
}

package wheatspread.config;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The source file of settings: the line of each key, the faults, and the effective settings with their origins. The
 * whole file is read before its faults are thrown, so that they are reported together. The lines of an element of a
 * large list are known only while it is read, and only the first elements of the list are recorded as settings.
 */
public final class SettingsSource {
    /** The maximum number of elements of a large list that are recorded as settings. */
    static final int MAX_RECORDED_ELEMENTS = 32;
    /** Longer messages are truncated. */
    private static final int MAX_MESSAGE_CHARS = 1_000;

    private final String file;
    private final Map<String, Integer> lines = new HashMap<>();
    private final Map<String, Integer> elementLines = new HashMap<>();
    private final ConfigProblems problems = new ConfigProblems();
    private final Map<String, Setting> settings = new LinkedHashMap<>();
    /** The environment variable or option that overrides the file, by key. */
    private final Map<String, String> overrides = new LinkedHashMap<>();

    private boolean inElement;
    private boolean recording = true;

    /** An effective value and its origin: {@code FILE:LINE}, an environment variable, or {@code default}. */
    public record Setting(String key, Object value, String origin) {}

    SettingsSource(String file) {
        this.file = file;
    }

    /** Returns the name of the file as it was given. */
    public String file() {
        return file;
    }

    /** Begins an element of a large list, to which the following keys belong. */
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

    /** Records the line of a key. */
    void recordLine(String key, int line) {
        (inElement ? elementLines : lines).put(key, line);
    }

    /** Records that an environment variable or an option overrides a key. */
    void recordOverride(String key, String origin) {
        overrides.put(key, origin);
    }

    /** Returns the line of a key; 0 if it is unknown. */
    int line(String key) {
        Integer line = elementLines.get(key);
        return line == null ? lines.getOrDefault(key, 0) : line;
    }

    /** Returns the location of a key, or of the nearest enclosing object that is in the file. */
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

    /** Returns whether settings are recorded; false for later elements of a large list. */
    boolean recordsSettings() {
        return recording;
    }

    void recordSetting(String key, Object value, boolean isInFile) {
        settings.put(key, new Setting(key, value, isInFile ? location(key) : "default"));
    }

    /** Returns the messages of the first {@link ConfigProblems#MAX_KEPT} faults. */
    public List<String> messages() {
        return problems.messages();
    }

    /** Returns the effective settings, in the order in which they were read. */
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

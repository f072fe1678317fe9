package wheatspread.config;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The file that settings come from: on which line each key stands, what is wrong with it, and what was taken
 * over from where. A whole file is read before its faults are told, so that all of them are. Of the elements
 * of a large list, the lines are known while the element is read, and only the first ones are shown.
 */
public final class SettingsSource {
    /** So many elements of a large list are shown one by one. */
    static final int ELEMENTS_SHOWN = 32;
    /** A longer complaint is cut. */
    private static final int LONGEST_COMPLAINT = 1_000;

    private final String file;
    private final Map<String, Integer> lines = new HashMap<>();
    private final Map<String, Integer> elementLines = new HashMap<>();
    private final ConfigProblems faults = new ConfigProblems();
    private final Map<String, Setting> settings = new LinkedHashMap<>();
    private final Map<String, String> over = new LinkedHashMap<>();
    private boolean inElement;
    private boolean shown = true;

    /** One value that holds, and where it comes from: {@code FILE:LINE}, a variable, or {@code default}. */
    public record Setting(String key, Object value, String origin) {}

    SettingsSource(String file) {
        this.file = file;
    }

    /** The name of the file, as it was given. */
    public String file() {
        return file;
    }

    /** What stands in the file from now on is the element of this index in a large list. */
    void beginElement(int index) {
        inElement = true;
        shown = index < ELEMENTS_SHOWN;
        elementLines.clear();
    }

    void endElements() {
        inElement = false;
        shown = true;
        elementLines.clear();
    }

    /** A key stands on this line. */
    void stands(String key, int line) {
        (inElement ? elementLines : lines).put(key, line);
    }

    /** A key's value was replaced by what a variable or an option says. */
    void overriddenBy(String key, String origin) {
        over.put(key, origin);
    }

    /** The line on which a key stands; 0 where it is not known. */
    int line(String key) {
        Integer line = elementLines.get(key);
        return line == null ? lines.getOrDefault(key, 0) : line;
    }

    /** Where a key stands, or the nearest object round it that stands in the file. */
    String place(String key) {
        if (over.containsKey(key)) {
            return over.get(key);
        }
        for (String at = key; !at.isEmpty(); at = outer(at)) {
            if (line(at) > 0) {
                return file + ":" + line(at);
            }
        }
        return file;
    }

    private static String outer(String key) {
        return key.substring(0, Math.max(0, Math.max(key.lastIndexOf('.'), key.lastIndexOf('['))));
    }

    void fault(String key, String complaint) {
        String whole = place(key) + ": " + key + " " + complaint;
        faults.add(whole.length() <= LONGEST_COMPLAINT ? whole : whole.substring(0, LONGEST_COMPLAINT) + "...");
    }

    /** Whether what is read now is to be shown as a setting that holds. */
    boolean shows() {
        return shown;
    }

    void took(String key, Object value, boolean told) {
        settings.put(key, new Setting(key, value, told ? place(key) : "default"));
    }

    /** What is wrong, each with file, line, key and what is allowed; of very many the first ones. */
    public List<String> faults() {
        return faults.kept();
    }

    /** What holds, in the order in which it was read. */
    public List<Setting> settings() {
        return List.copyOf(settings.values());
    }

    /** Complains of all faults at once, if there are any. */
    void settle() {
        if (!faults.isEmpty()) {
            throw new JsonFields.InvalidValueException(faults);
        }
    }
}

package wheatspread.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The file that settings come from: on which line each key stands, what is wrong with it, and what was taken
 * over from where. A whole file is read before its faults are told, so that all of them are.
 */
public final class Source {
    private final String file;
    private final Map<String, Integer> lines;
    private final List<String> faults = new ArrayList<>();
    private final Map<String, Setting> settings = new LinkedHashMap<>();
    private final Map<String, String> over = new LinkedHashMap<>();

    /** One value that holds, and where it comes from: {@code FILE:LINE}, a variable, or {@code default}. */
    public record Setting(String key, Object value, String origin) {}

    Source(String file, Map<String, Integer> lines) {
        this.file = file;
        this.lines = lines;
    }

    /** The name of the file, as it was given. */
    public String file() {
        return file;
    }

    /** A key's value was replaced by what a variable or an option says. */
    void overriddenBy(String key, String origin) {
        over.put(key, origin);
    }

    /** Where a key stands, or the nearest object round it that stands in the file. */
    String place(String key) {
        if (over.containsKey(key)) {
            return over.get(key);
        }
        for (String at = key; !at.isEmpty(); at = outer(at)) {
            if (lines.containsKey(at)) {
                return file + ":" + lines.get(at);
            }
        }
        return file;
    }

    private static String outer(String key) {
        return key.substring(0, Math.max(0, Math.max(key.lastIndexOf('.'), key.lastIndexOf('['))));
    }

    void fault(String key, String complaint) {
        String fault = place(key) + ": " + key + " " + complaint;
        if (!faults.contains(fault)) {
            faults.add(fault);
        }
    }

    void took(String key, Object value, boolean told) {
        settings.put(key, new Setting(key, value, told ? place(key) : "default"));
    }

    /** All that is wrong, each with file, line, key and what is allowed. */
    public List<String> faults() {
        return List.copyOf(faults);
    }

    /** What holds, in the order in which it was read. */
    public List<Setting> settings() {
        return List.copyOf(settings.values());
    }

    /** Complains of all faults at once, if there are any. */
    void settle() {
        if (!faults.isEmpty()) {
            throw new Fields.BadValue(faults);
        }
    }
}

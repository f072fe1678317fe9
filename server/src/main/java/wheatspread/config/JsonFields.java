package wheatspread.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;

/**
 * Typed access to a JSON object of a message or a settings file. A fault is reported with the path of its key. The
 * first fault of a message is thrown. The faults of a file are collected: reading continues with a substitute value
 * after each, and {@link #throwIfInvalid} throws them together.
 */
public final class JsonFields {
    private static final int MAX_TIME_MS = 3_600_000;
    private static final int MICROS_PER_MILLI = 1_000;

    private final Map<String, Object> map;
    private final String path;
    private final SettingsSource source;

    private JsonFields(Map<String, Object> map, String path, SettingsSource source) {
        this.map = map;
        this.path = path;
        this.source = source;
    }

    /** One or more values are missing, have the wrong type or are out of range. */
    public static final class InvalidValueException extends IllegalArgumentException {
        private static final long serialVersionUID = 1L;

        private final transient List<ConfigProblem> problems;
        private final long count;

        public InvalidValueException(String message) {
            this(ConfigProblem.general(message));
        }

        InvalidValueException(ConfigProblem problem) {
            super(problem.message());
            problems = List.of(problem);
            count = 1;
        }

        /** Creates the exception for settings, named by {@code subject}, that do not fit into the heap. */
        public static InvalidValueException outOfMemory(String subject) {
            return new InvalidValueException(subject + " needs more memory than is left of the heap of "
                    + (Runtime.getRuntime().maxMemory() >> 20) + " MiB");
        }

        /** Creates an exception with several faults; the message states the first fault and the number of the rest. */
        InvalidValueException(ConfigProblems found) {
            super(found.summary());
            problems = found.problems();
            count = found.count();
        }

        /** Returns the first {@link ConfigProblems#MAX_KEPT} faults. */
        public List<ConfigProblem> problems() {
            return problems;
        }

        public List<String> messages() {
            return problems.stream().map(ConfigProblem::message).toList();
        }

        /** Returns the number of faults, including those that {@link #problems} omits. */
        public long count() {
            return count;
        }
    }

    /** Returns the fields of an object in a message; {@code path} names the object in errors. */
    public static JsonFields of(Object value, String path) {
        JsonFields object = of(value, path, null);
        if (object == null) {
            throw new InvalidValueException(path + " is not an object");
        }
        return object;
    }

    /** Returns null if the value is not an object. */
    @SuppressWarnings("unchecked")
    private static JsonFields of(Object value, String path, SettingsSource source) {
        return value instanceof Map<?, ?> map ? new JsonFields((Map<String, Object>) map, path, source) : null;
    }

    static JsonFields of(Map<String, Object> map, SettingsSource source) {
        return new JsonFields(map, "", source);
    }

    /** Returns the file that contains the object; null for a message. */
    public SettingsSource source() {
        return source;
    }

    /** Throws the collected faults of the file, if there are any; called after the whole file has been read. */
    public void throwIfInvalid() {
        if (source != null) {
            source.throwIfInvalid();
        }
    }

    /** Replaces a value in the file by that of an environment variable or an option. */
    void override(String name, Object value, String origin) {
        map.put(name, value);
        if (source != null) {
            source.recordOverride(key(name), origin);
        }
    }

    /** Throws a fault of a key of a message; collects a fault of a file and returns the substitute value. */
    <T> T report(String name, String problem, T substitute) {
        return report(name, problem, null, substitute);
    }

    /** Reports a fault of a key with the allowed values, which may be null. */
    <T> T report(String name, String problem, String allowed, T substitute) {
        if (source == null) {
            throw invalidValue(name, problem, allowed);
        }
        source.report(key(name), formatOrNull(name), allowed, problem);
        return substitute;
    }

    private InvalidValueException invalidValue(String name, String problem, String allowed) {
        String key = key(name);
        return new InvalidValueException(
                new ConfigProblem(null, 0, key, formatOrNull(name), allowed, key + " " + problem));
    }

    private String formatOrNull(String name) {
        Object value = map.get(name);
        return value == null ? null : ConfigProblem.format(value);
    }

    private <T> T recordSetting(String name, T value) {
        if (source != null && source.recordsSettings()) {
            source.recordSetting(key(name), value, map.get(name) != null);
        }
        return value;
    }

    /** Records the text that show-config prints instead of the elements of a large list. */
    void recordSummary(String name, String text) {
        recordSetting(name, text);
    }

    /** Returns the line of the file on which this object begins; 0 if it is unknown. */
    int line() {
        return source == null ? 0 : source.line(path);
    }

    /** Returns the value as the end of a message; empty if there is no value. */
    private String valueSuffix(String name) {
        Object value = map.get(name);
        return value == null ? "" : ": " + ConfigProblem.format(value);
    }

    /** Returns the object of a key; an empty object if the key is optional and absent. */
    public JsonFields object(String name, boolean optional) {
        JsonFields inner = of(map.get(name), key(name), source);
        if (inner == null && (!optional || has(name))) {
            report(name, "is missing or not an object" + valueSuffix(name), null);
        }
        return inner == null ? new JsonFields(Map.of(), key(name), source) : inner;
    }

    public boolean has(String name) {
        return map.get(name) != null;
    }

    public Object get(String name) {
        return map.get(name);
    }

    /** Returns a required number. */
    public double number(String name) {
        if (map.get(name) instanceof Number n) {
            return recordSetting(name, n.doubleValue());
        }
        return report(name, "is missing or not a number" + valueSuffix(name), 1.0);
    }

    public double number(String name, double defaultValue) {
        return has(name) ? number(name) : recordSetting(name, defaultValue);
    }

    /** Returns a number from {@code min} to {@code max}; the default if the key is absent. */
    public double number(String name, double defaultValue, double min, double max) {
        if (has(name) && !(map.get(name) instanceof Number)) {
            String allowed = min + " to " + max;
            return report(name, notANumber(name, allowed), allowed, defaultValue);
        }
        double value = number(name, defaultValue);
        if (value >= min && value <= max) {
            return value;
        }
        String allowed = min + " to " + max;
        return report(name, "is " + value + "; allowed is " + allowed, allowed, defaultValue);
    }

    private String notANumber(String name, String allowed) {
        return "is missing or not a number" + valueSuffix(name) + "; allowed is " + allowed;
    }

    /** Returns a required integer. */
    public long integer(String name) {
        double value = number(name);
        Object parsed = map.get(name);
        if (parsed instanceof Long || parsed instanceof Integer) {
            return recordSetting(name, ((Number) parsed).longValue());
        }
        return parsed instanceof Number ? report(name, "is not an integer: " + value, 1L) : 1;
    }

    /** Returns an integer from {@code min} to {@code max}; the default if the key is absent. */
    public int integer(String name, int defaultValue, int min, int max) {
        if (has(name) && !(map.get(name) instanceof Number)) {
            String allowed = min + " to " + max;
            return report(name, notANumber(name, allowed), allowed, defaultValue);
        }
        long value = has(name) ? integer(name) : recordSetting(name, (long) defaultValue);
        if (value >= min && value <= max) {
            return (int) value;
        }
        String allowed = min + " to " + max;
        return report(name, "is " + value + "; allowed is " + allowed, allowed, defaultValue);
    }

    /** Returns a time in microseconds, given in the file in whole milliseconds from {@code minMillis} to one hour. */
    public long micros(String name, long defaultMicros, int minMillis) {
        int defaultMillis = (int) (defaultMicros / MICROS_PER_MILLI);
        return integer(name, defaultMillis, minMillis, MAX_TIME_MS) * (long) MICROS_PER_MILLI;
    }

    public long id(String name) {
        return integer(name);
    }

    /** Returns a required time in microseconds, given in milliseconds. */
    public long millisAsMicros(String name) {
        return Math.round(number(name) * MICROS_PER_MILLI);
    }

    /** Returns a time in microseconds, given in milliseconds; the default, in microseconds, if the key is absent. */
    public long millisAsMicros(String name, long defaultMicros) {
        if (has(name)) {
            return millisAsMicros(name);
        }
        return Math.round(recordSetting(name, defaultMicros / (double) MICROS_PER_MILLI) * MICROS_PER_MILLI);
    }

    public boolean flag(String name) {
        return map.get(name) == Boolean.TRUE;
    }

    /** Returns true or false; the default if the key is absent. */
    public boolean flag(String name, boolean defaultValue) {
        Object value = map.get(name);
        if (value == null) {
            return recordSetting(name, defaultValue);
        }
        return value instanceof Boolean flag
                ? recordSetting(name, flag)
                : report(name, "is neither true nor false" + valueSuffix(name), "true, false", defaultValue);
    }

    /** Returns a required text. */
    public String text(String name) {
        if (map.get(name) instanceof String text) {
            return recordSetting(name, text);
        }
        return report(name, "is missing or not text" + valueSuffix(name), "");
    }

    public String text(String name, String defaultValue) {
        return has(name) ? text(name) : recordSetting(name, defaultValue);
    }

    /** Returns the value for the keyword in a required text; reports an unknown keyword. */
    public <T> T oneOf(String name, Map<String, T> words) {
        String word = text(name);
        T known = words.get(word);
        if (known == null && map.get(name) instanceof String) {
            String allowed = new TreeSet<>(words.keySet()).toString();
            report(
                    name,
                    "is an unknown word: " + ConfigProblem.format(word) + "; allowed are " + allowed,
                    allowed,
                    null);
        }
        return known == null ? words.values().iterator().next() : known;
    }

    public <T> T oneOf(String name, Map<String, T> words, T defaultValue) {
        return has(name) ? oneOf(name, words) : recordSetting(name, defaultValue);
    }

    /** Returns a list of texts; empty if the key is absent. */
    public List<String> textList(String name) {
        List<String> texts = new ArrayList<>();
        for (Object element : list(name)) {
            texts.add(
                    element instanceof String text
                            ? text
                            : report(name, "has an element that is not text: " + ConfigProblem.format(element), ""));
        }
        recordSetting(name, texts);
        return texts;
    }

    /** Returns the list of a key; empty if the key is absent. */
    @SuppressWarnings("unchecked")
    public List<Object> list(String name) {
        Object value = map.get(name);
        if (value == null) {
            return List.of();
        }
        if (value instanceof List<?> list) {
            return (List<Object>) list;
        }
        return report(name, "is not a list" + valueSuffix(name), List.of());
    }

    /** Returns the fields of each object in a list; empty if the key is absent. */
    public List<JsonFields> objects(String name) {
        List<JsonFields> objects = new ArrayList<>();
        int index = 0;
        for (Object element : list(name)) {
            String elementName = name + "[" + index++ + "]";
            JsonFields inner = of(element, key(elementName), source);
            if (inner == null) {
                report(elementName, "is not an object: " + ConfigProblem.format(element), null);
            } else {
                objects.add(inner);
            }
        }
        return objects;
    }

    /**
     * Returns the reader that has read the large list of a key: either the reader that read the list while the file was
     * parsed or, if the list is in memory, a new reader that reads it now.
     */
    <R extends ListReader> R largeList(String name, Class<R> type, Supplier<R> newReader) {
        if (type.isInstance(map.get(name))) {
            return type.cast(map.get(name));
        }
        R reader = newReader.get();
        List<Object> list = list(name);
        if (list.size() > reader.maxElements()) {
            return report(name, "has more than " + reader.maxElements() + " elements", reader);
        }
        for (int index = 0; index < list.size(); index++) {
            read(list.get(index), key(name) + "[" + index + "]", source, index, reader);
        }
        return reader;
    }

    /** Passes an element of a large list to its reader; reports an element that is not an object. */
    static void read(Object element, String path, SettingsSource source, int index, ListReader reader) {
        JsonFields fields = of(element, path, source);
        if (fields != null) {
            reader.read(index, fields);
            return;
        }
        String text = ConfigProblem.format(element);
        String problem = "is not an object: " + text;
        if (source == null) {
            throw new InvalidValueException(new ConfigProblem(null, 0, path, text, null, path + " " + problem));
        }
        source.report(path, text, null, problem);
    }

    /** Creates the exception for a fault of a key; {@code problem} continues a sentence that begins with the key. */
    public InvalidValueException invalidValue(String name, String problem) {
        return invalidValue(name, problem, null);
    }

    /** Reports every key that is not in {@code keys}, since a misspelt optional key would otherwise be ignored. */
    public void requireKnownKeys(Set<String> keys) {
        for (String name : keys()) {
            if (!keys.contains(name)) {
                String allowed = new TreeSet<>(keys).toString();
                report(name, "is an unknown key; known are " + allowed, allowed, null);
            }
        }
    }

    public Set<String> keys() {
        return map.keySet();
    }

    private String key(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }
}

package wheatspread.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;

/**
 * Typed access to one JSON object of a message or a settings file. A fault is reported with the path of its
 * key. In a message the first fault is thrown. In a file all faults are collected, reading goes on with a
 * substitute value for each, and {@link #throwIfInvalid} throws them together.
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

        /** The settings, which {@code subject} names, do not fit into the heap of this process. */
        public static InvalidValueException outOfMemory(String subject) {
            return new InvalidValueException(subject + " takes more memory than is left of a heap of "
                    + (Runtime.getRuntime().maxMemory() >> 20) + " MiB");
        }

        /** Several faults; the message is that of the first one and states how many others there are. */
        InvalidValueException(ConfigProblems found) {
            super(found.summary());
            problems = found.problems();
            count = found.count();
        }

        /** The faults; of very many the first ones. */
        public List<ConfigProblem> problems() {
            return problems;
        }

        /** The messages of {@link #problems}. */
        public List<String> messages() {
            return problems.stream().map(ConfigProblem::message).toList();
        }

        /** How many faults there are, including those that {@link #problems} leaves out. */
        public long count() {
            return count;
        }
    }

    /** The fields of an object in a message, which {@code path} names. */
    public static JsonFields of(Object value, String path) {
        JsonFields object = of(value, path, null);
        if (object == null) {
            throw new InvalidValueException(path + " is not an object");
        }
        return object;
    }

    /** Returns null if the value is no object. */
    @SuppressWarnings("unchecked")
    private static JsonFields of(Object value, String path, SettingsSource source) {
        return value instanceof Map<?, ?> map ? new JsonFields((Map<String, Object>) map, path, source) : null;
    }

    static JsonFields of(Map<String, Object> map, SettingsSource source) {
        return new JsonFields(map, "", source);
    }

    /** The file that the object is in; null for a message. */
    public SettingsSource source() {
        return source;
    }

    /** Throws the collected faults of the file, if there are any; called once all of it has been read. */
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

    /** Reports a fault of a key; where faults are collected, returns the substitute value. */
    <T> T report(String name, String problem, T substitute) {
        return report(name, problem, null, substitute);
    }

    /** Reports a fault of a key, with the allowed values where they are known. */
    <T> T report(String name, String problem, String allowed, T substitute) {
        if (source == null) {
            throw invalidValue(name, problem, allowed);
        }
        source.report(key(name), shownOrNull(name), allowed, problem);
        return substitute;
    }

    private InvalidValueException invalidValue(String name, String problem, String allowed) {
        String key = key(name);
        return new InvalidValueException(
                new ConfigProblem(null, 0, key, shownOrNull(name), allowed, key + " " + problem));
    }

    private String shownOrNull(String name) {
        Object value = map.get(name);
        return value == null ? null : ConfigProblem.shown(value);
    }

    private <T> T recordSetting(String name, T value) {
        if (source != null && source.recordsSettings()) {
            source.recordSetting(key(name), value, map.get(name) != null);
        }
        return value;
    }

    /** Records a text that operators see in place of the elements of a large list. */
    void summary(String name, String text) {
        recordSetting(name, text);
    }

    /** The line of the file that this object begins on; 0 if it is not known. */
    int line() {
        return source == null ? 0 : source.line(path);
    }

    /** The value as a message ends with it; empty if there is none. */
    private String shownValue(String name) {
        Object value = map.get(name);
        return value == null ? "" : ": " + ConfigProblem.shown(value);
    }

    /** The object under a key; an empty one if it is optional and absent. */
    public JsonFields object(String name, boolean optional) {
        JsonFields inner = of(map.get(name), key(name), source);
        if (inner == null && (!optional || has(name))) {
            report(name, "is not an object" + shownValue(name), null);
        }
        return inner == null ? new JsonFields(Map.of(), key(name), source) : inner;
    }

    public boolean has(String name) {
        return map.get(name) != null;
    }

    public Object get(String name) {
        return map.get(name);
    }

    /** A number, which must be there. */
    public double number(String name) {
        if (map.get(name) instanceof Number n) {
            return recordSetting(name, n.doubleValue());
        }
        return report(name, "is missing or not a number" + shownValue(name), 1.0);
    }

    public double number(String name, double defaultValue) {
        return has(name) ? number(name) : recordSetting(name, defaultValue);
    }

    /** A number within bounds; the default if the key is absent. */
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
        return report(name, "is " + value + ", not from " + allowed, allowed, defaultValue);
    }

    private String notANumber(String name, String allowed) {
        return "is missing or not a number" + shownValue(name) + "; allowed is " + allowed;
    }

    /** An integer, which must be there. */
    public long integer(String name) {
        double value = number(name);
        Object parsed = map.get(name);
        if (parsed instanceof Long || parsed instanceof Integer) {
            return recordSetting(name, ((Number) parsed).longValue());
        }
        return parsed instanceof Number ? report(name, "is not an integer: " + value, 1L) : 1;
    }

    /** An integer within bounds; the default if the key is absent. */
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
        return report(name, "is " + value + ", not from " + allowed, allowed, defaultValue);
    }

    /** A time in microseconds that the file gives in whole milliseconds, from {@code minMillis} to an hour. */
    public long micros(String name, long defaultMicros, int minMillis) {
        int defaultMillis = (int) (defaultMicros / MICROS_PER_MILLI);
        return integer(name, defaultMillis, minMillis, MAX_TIME_MS) * (long) MICROS_PER_MILLI;
    }

    public long id(String name) {
        return integer(name);
    }

    /** A time in microseconds that the message or file gives in milliseconds. */
    public long millisAsMicros(String name) {
        return Math.round(number(name) * MICROS_PER_MILLI);
    }

    /** The same; the default, in microseconds, if the key is absent. */
    public long millisAsMicros(String name, long defaultMicros) {
        if (has(name)) {
            return millisAsMicros(name);
        }
        return Math.round(recordSetting(name, defaultMicros / (double) MICROS_PER_MILLI) * MICROS_PER_MILLI);
    }

    public boolean flag(String name) {
        return map.get(name) == Boolean.TRUE;
    }

    /** True or false; the default if the key is absent. */
    public boolean flag(String name, boolean defaultValue) {
        Object value = map.get(name);
        if (value == null) {
            return recordSetting(name, defaultValue);
        }
        return value instanceof Boolean flag
                ? recordSetting(name, flag)
                : report(name, "is neither true nor false" + shownValue(name), "true, false", defaultValue);
    }

    /** A text, which must be there. */
    public String text(String name) {
        if (map.get(name) instanceof String text) {
            return recordSetting(name, text);
        }
        return report(name, "is missing or not text" + shownValue(name), "");
    }

    public String text(String name, String defaultValue) {
        return has(name) ? text(name) : recordSetting(name, defaultValue);
    }

    /** The value that a word stands for. */
    public <T> T oneOf(String name, Map<String, T> words) {
        String word = text(name);
        T known = words.get(word);
        if (known == null && map.get(name) instanceof String) {
            String allowed = new TreeSet<>(words.keySet()).toString();
            report(
                    name,
                    "is an unknown word: " + ConfigProblem.shown(word) + "; allowed are " + allowed,
                    allowed,
                    null);
        }
        return known == null ? words.values().iterator().next() : known;
    }

    public <T> T oneOf(String name, Map<String, T> words, T defaultValue) {
        return has(name) ? oneOf(name, words) : recordSetting(name, defaultValue);
    }

    /** A list of texts; empty if the key is absent. */
    public List<String> textList(String name) {
        List<String> texts = new ArrayList<>();
        for (Object element : list(name)) {
            texts.add(
                    element instanceof String text
                            ? text
                            : report(name, "holds what is not text: " + ConfigProblem.shown(element), ""));
        }
        recordSetting(name, texts);
        return texts;
    }

    /** The list under a key; empty if the key is absent. */
    @SuppressWarnings("unchecked")
    public List<Object> list(String name) {
        Object value = map.get(name);
        if (value == null) {
            return List.of();
        }
        if (value instanceof List<?> list) {
            return (List<Object>) list;
        }
        return report(name, "is not a list" + shownValue(name), List.of());
    }

    /** The objects of a list, each with its path. */
    public List<JsonFields> objects(String name) {
        List<JsonFields> objects = new ArrayList<>();
        int index = 0;
        for (Object element : list(name)) {
            String elementName = name + "[" + index++ + "]";
            JsonFields inner = of(element, key(elementName), source);
            if (inner == null) {
                report(elementName, "is not an object: " + ConfigProblem.shown(element), null);
            } else {
                objects.add(inner);
            }
        }
        return objects;
    }

    /**
     * The reader that has read the large list under a key: the one that read it from the stream of the file,
     * or a new one, which reads it now, if the list is in memory.
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

    /** Passes an element of a large list to its reader. */
    static void read(Object element, String path, SettingsSource source, int index, ListReader reader) {
        JsonFields fields = of(element, path, source);
        if (fields != null) {
            reader.read(index, fields);
            return;
        }
        String shown = ConfigProblem.shown(element);
        String problem = "is not an object: " + shown;
        if (source == null) {
            throw new InvalidValueException(new ConfigProblem(null, 0, path, shown, null, path + " " + problem));
        }
        source.report(path, shown, null, problem);
    }

    /** Creates the exception for a fault of a key; {@code problem} continues a sentence that begins with the key. */
    public InvalidValueException invalidValue(String name, String problem) {
        return invalidValue(name, problem, null);
    }

    /** Reports every other key, since a misspelt key must not count as an absent one. */
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

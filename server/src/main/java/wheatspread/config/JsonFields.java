package wheatspread.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;

/**
 * Typed access to one object of a message or a configuration; complaints name the faulty key by its path. Of
 * a message the first fault is thrown. Of a file all faults are gathered, a harmless value standing in for
 * each, and {@link #settle} throws them together.
 */
public final class JsonFields {
    private static final int HOUR_MS = 3_600_000;
    /** Of a longer value, a complaint shows only the beginning; characters. */
    private static final int LONGEST_SHOWN = 64;

    private final Map<String, Object> map;
    private final String path;
    private final SettingsSource source;

    private JsonFields(Map<String, Object> map, String path, SettingsSource source) {
        this.map = map;
        this.path = path;
        this.source = source;
    }

    /** A value is missing, ill-typed or out of range; the message names its key. */
    public static final class InvalidValueException extends IllegalArgumentException {
        private static final long serialVersionUID = 1L;

        private final transient List<String> faults;
        private final long count;

        public InvalidValueException(String message) {
            super(message);
            faults = List.of(message);
            count = 1;
        }

        /** What {@code what} stands for does not go into the heap of this process. */
        public static InvalidValueException outOfMemory(String what) {
            return new InvalidValueException(what + " takes more memory than is left of a heap of "
                    + (Runtime.getRuntime().maxMemory() >> 20) + " MiB");
        }

        /** Several at once; the message tells the first, and how many there are besides. */
        InvalidValueException(ConfigProblems faults) {
            super(faults.kept().get(0) + besides(faults));
            this.faults = faults.kept();
            count = faults.count();
        }

        private static String besides(ConfigProblems faults) {
            if (faults.count() == 1) {
                return "";
            }
            String named = faults.count() == faults.kept().size()
                    ? "them all"
                    : "the first " + faults.kept().size();
            return " (and " + (faults.count() - 1) + " more; 'check' names " + named + ")";
        }

        /** Each of them by itself; of very many the first ones. */
        public List<String> faults() {
            return faults;
        }

        /** How many there are, with those that {@link #faults} leaves out. */
        public long count() {
            return count;
        }
    }

    public static JsonFields of(Object value, String path) {
        JsonFields object = of(value, path, null);
        if (object == null) {
            throw new InvalidValueException(path + " is not an object");
        }
        return object;
    }

    /** Null where the value is no object. */
    @SuppressWarnings("unchecked")
    private static JsonFields of(Object value, String path, SettingsSource source) {
        return value instanceof Map<?, ?> map ? new JsonFields((Map<String, Object>) map, path, source) : null;
    }

    static JsonFields of(Map<String, Object> map, SettingsSource source) {
        return new JsonFields(map, "", source);
    }

    /** The file it stands in; null for a message. */
    public SettingsSource source() {
        return source;
    }

    /** Throws what is wrong with the file, once all of it has been read. */
    public void settle() {
        if (source != null) {
            source.settle();
        }
    }

    /** What a variable of the environment or an option says goes over the file. */
    void override(String name, Object value, String origin) {
        map.put(name, value);
        if (source != null) {
            source.overriddenBy(key(name), origin);
        }
    }

    /** Complains of a key; where faults are gathered, reading goes on with the value that stands in. */
    <T> T fault(String name, String complaint, T instead) {
        if (source == null) {
            throw bad(name, complaint);
        }
        source.fault(key(name), complaint);
        return instead;
    }

    private <T> T took(String name, T value) {
        if (source != null && source.shows()) {
            source.took(key(name), value, map.get(name) != null);
        }
        return value;
    }

    /** What operators are shown in place of the elements of a large list. */
    void summary(String name, String text) {
        took(name, text);
    }

    /** The line on which this object stands in its file; 0 where it is not known. */
    int line() {
        return source == null ? 0 : source.line(path);
    }

    private String told(String name) {
        Object value = map.get(name);
        return value == null ? "" : ": " + shown(value);
    }

    private static String shown(Object value) {
        if (value instanceof Map) {
            return "an object";
        }
        if (value instanceof List || value instanceof ListReader) {
            return "a list";
        }
        String text = String.valueOf(value);
        return text.length() <= LONGEST_SHOWN
                ? text
                : text.substring(0, LONGEST_SHOWN) + "... (" + text.length() + " characters)";
    }

    /** The object under a key; an empty one where it may be absent and is. */
    public JsonFields object(String name, boolean mayBeAbsent) {
        JsonFields inner = of(map.get(name), key(name), source);
        if (inner == null && (!mayBeAbsent || has(name))) {
            fault(name, "is not an object" + told(name), null);
        }
        return inner == null ? new JsonFields(Map.of(), key(name), source) : inner;
    }

    public boolean has(String name) {
        return map.get(name) != null;
    }

    public Object get(String name) {
        return map.get(name);
    }

    public double number(String name) {
        if (map.get(name) instanceof Number n) {
            return took(name, n.doubleValue());
        }
        return fault(name, "is missing or not a number" + told(name), 1.0);
    }

    public double number(String name, double absent) {
        return has(name) ? number(name) : took(name, absent);
    }

    /** A number within bounds, or the value for an absent key. */
    public double number(String name, double absent, double least, double most) {
        if (has(name) && !(map.get(name) instanceof Number)) {
            return fault(
                    name, "is missing or not a number" + told(name) + "; allowed is " + least + " to " + most, absent);
        }
        double value = number(name, absent);
        return value >= least && value <= most
                ? value
                : fault(name, "is " + value + ", not from " + least + " to " + most, absent);
    }

    public long integer(String name) {
        double value = number(name);
        Object n = map.get(name);
        if (n instanceof Long || n instanceof Integer) {
            return took(name, ((Number) n).longValue());
        }
        return n instanceof Number ? fault(name, "is not an integer: " + value, 1L) : 1;
    }

    /** An integer within bounds, or the value for an absent key. */
    public int integer(String name, int absent, int least, int most) {
        if (has(name) && !(map.get(name) instanceof Number)) {
            return fault(
                    name, "is missing or not a number" + told(name) + "; allowed is " + least + " to " + most, absent);
        }
        long value = has(name) ? integer(name) : took(name, (long) absent);
        return value >= least && value <= most
                ? (int) value
                : fault(name, "is " + value + ", not from " + least + " to " + most, absent);
    }

    /**
     * A time that a file gives in whole milliseconds, an hour at most; all but the file's bounds is in us.
     */
    public long micros(String name, long absent, int leastMillis) {
        return integer(name, (int) (absent / 1_000), leastMillis, HOUR_MS) * 1_000L;
    }

    public long id(String name) {
        return integer(name);
    }

    /** Milliseconds on the wire, microseconds inside. */
    public long time(String name) {
        return Math.round(number(name) * 1000);
    }

    public long time(String name, long absent) {
        return has(name) ? time(name) : Math.round(took(name, absent / 1000.0) * 1000);
    }

    public boolean flag(String name) {
        return map.get(name) == Boolean.TRUE;
    }

    /** True or false, or the value for an absent key. */
    public boolean flag(String name, boolean absent) {
        Object value = map.get(name);
        return value == null
                ? took(name, absent)
                : value instanceof Boolean b
                        ? took(name, b)
                        : fault(name, "is neither true nor false" + told(name), absent);
    }

    public String text(String name) {
        if (map.get(name) instanceof String s) {
            return took(name, s);
        }
        return fault(name, "is missing or not text" + told(name), "");
    }

    public String text(String name, String absent) {
        return has(name) ? text(name) : took(name, absent);
    }

    public <T> T word(String name, Map<String, T> words) {
        String told = text(name);
        T known = words.get(told);
        if (known == null && map.get(name) instanceof String) {
            fault(name, "is an unknown word: " + shown(told) + "; allowed are " + new TreeSet<>(words.keySet()), null);
        }
        return known == null ? words.values().iterator().next() : known;
    }

    public <T> T word(String name, Map<String, T> words, T absent) {
        return has(name) ? word(name, words) : took(name, absent);
    }

    /** A list of texts; empty where the key is absent. */
    public List<String> texts(String name) {
        List<String> texts = new ArrayList<>();
        for (Object one : list(name)) {
            texts.add(one instanceof String s ? s : fault(name, "holds what is not text: " + shown(one), ""));
        }
        took(name, texts);
        return texts;
    }

    @SuppressWarnings("unchecked")
    public List<Object> list(String name) {
        Object value = map.get(name);
        if (value == null) {
            return List.of();
        }
        if (value instanceof List<?> list) {
            return (List<Object>) list;
        }
        return fault(name, "is not a list" + told(name), List.of());
    }

    /** The objects of a list, each with its path. */
    public List<JsonFields> objects(String name) {
        List<JsonFields> objects = new ArrayList<>();
        int index = 0;
        for (Object one : list(name)) {
            String at = name + "[" + index++ + "]";
            JsonFields inner = of(one, key(at), source);
            if (inner == null) {
                fault(at, "is not an object: " + shown(one), null);
            } else {
                objects.add(inner);
            }
        }
        return objects;
    }

    /**
     * The large list under a key, read: by the reader that took it from the stream of the file, or now, by a
     * fresh one, where it stands in memory.
     */
    <R extends ListReader> R large(String name, Class<R> type, Supplier<R> fresh) {
        if (type.isInstance(map.get(name))) {
            return type.cast(map.get(name));
        }
        R reader = fresh.get();
        List<Object> list = list(name);
        if (list.size() > reader.most()) {
            return fault(name, "has more than " + reader.most() + " elements", reader);
        }
        for (int index = 0; index < list.size(); index++) {
            read(list.get(index), key(name) + "[" + index + "]", source, index, reader);
        }
        return reader;
    }

    /** Hands an element of a large list to its reader. */
    static void read(Object element, String path, SettingsSource source, int index, ListReader reader) {
        JsonFields told = of(element, path, source);
        if (told != null) {
            reader.read(index, told);
        } else if (source != null) {
            source.fault(path, "is not an object: " + shown(element));
        } else {
            throw new InvalidValueException(path + " is not an object: " + shown(element));
        }
    }

    public InvalidValueException bad(String name, String complaint) {
        return new InvalidValueException(key(name) + " " + complaint);
    }

    /** A misspelt key must not pass for an absent one. */
    public void only(Set<String> keys) {
        for (String name : names()) {
            if (!keys.contains(name)) {
                fault(name, "is an unknown key; known are " + new TreeSet<>(keys), null);
            }
        }
    }

    public Set<String> names() {
        return map.keySet();
    }

    private String key(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }
}

package wheatspread.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Typed access to one object of a message or a configuration; complaints name the faulty key by its path. */
public final class Fields {
    private static final int HOUR_MS = 3_600_000;

    private final Map<String, Object> map;
    private final String path;

    private Fields(Map<String, Object> map, String path) {
        this.map = map;
        this.path = path;
    }

    /** A value is missing, ill-typed or out of range; the message names its key. */
    public static final class BadValue extends IllegalArgumentException {
        private static final long serialVersionUID = 1L;

        public BadValue(String message) {
            super(message);
        }
    }

    @SuppressWarnings("unchecked")
    public static Fields of(Object value, String path) {
        if (value instanceof Map<?, ?> map) {
            return new Fields((Map<String, Object>) map, path);
        }
        throw new BadValue(path + " is not an object");
    }

    /** The object under a key; an empty one where it may be absent and is. */
    public Fields object(String name, boolean mayBeAbsent) {
        return mayBeAbsent && !has(name) ? new Fields(Map.of(), key(name)) : of(map.get(name), key(name));
    }

    public boolean has(String name) {
        return map.get(name) != null;
    }

    public Object get(String name) {
        return map.get(name);
    }

    public double number(String name) {
        if (map.get(name) instanceof Number n) {
            return n.doubleValue();
        }
        throw bad(name, "is missing or not a number");
    }

    public double number(String name, double absent) {
        return has(name) ? number(name) : absent;
    }

    public long integer(String name) {
        double value = number(name);
        Object n = map.get(name);
        if (n instanceof Long || n instanceof Integer) {
            return ((Number) n).longValue();
        }
        throw bad(name, "is not an integer: " + value);
    }

    /** An integer within bounds, or the value for an absent key. */
    public int integer(String name, int absent, int least, int most) {
        long value = has(name) ? integer(name) : absent;
        if (value < least || value > most) {
            throw bad(name, "is " + value + ", not from " + least + " to " + most);
        }
        return (int) value;
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
        return has(name) ? time(name) : absent;
    }

    public boolean flag(String name) {
        return map.get(name) == Boolean.TRUE;
    }

    public String text(String name) {
        if (map.get(name) instanceof String s) {
            return s;
        }
        throw bad(name, "is missing or not text");
    }

    public String text(String name, String absent) {
        return has(name) ? text(name) : absent;
    }

    public <T> T word(String name, Map<String, T> words) {
        T known = words.get(text(name));
        if (known == null) {
            throw bad(name, "is an unknown word: " + text(name));
        }
        return known;
    }

    public <T> T word(String name, Map<String, T> words, T absent) {
        return has(name) ? word(name, words) : absent;
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
        throw bad(name, "is not a list");
    }

    /** The objects of a list, each with its path. */
    public List<Fields> objects(String name) {
        List<Fields> objects = new ArrayList<>();
        for (Object one : list(name)) {
            objects.add(of(one, key(name) + "[" + objects.size() + "]"));
        }
        return objects;
    }

    public BadValue bad(String name, String complaint) {
        return new BadValue(key(name) + " " + complaint);
    }

    /** A misspelt key must not pass for an absent one. */
    public void only(Set<String> keys) {
        for (String name : names()) {
            if (!keys.contains(name)) {
                throw bad(name, "is an unknown key; known are " + new TreeSet<>(keys));
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

package wheatspread.core;

import java.nio.charset.StandardCharsets;
import java.util.AbstractList;
import java.util.Arrays;
import java.util.Collection;
import java.util.RandomAccess;
import org.agrona.collections.Int2IntHashMap;

/**
 * An immutable list of distinct names that finds the index of a name by one hash lookup. All names are stored
 * as UTF-8 in one byte array, so that 100,000 names do not cost an object each. {@link #get} allocates a string;
 * {@link #indexOf} allocates nothing if the name is ASCII.
 */
public final class NameTable extends AbstractList<String> implements RandomAccess {
    private static final int ABSENT = -1;
    /** The most names that may share a hash code. More do not occur by chance and would make lookups slow. */
    static final int MAX_NAMES_PER_HASH = 256;
    /** The distance from an occupied key to the next key to probe; odd, so that probing reaches all keys. */
    private static final int PROBE_STEP = 0x9E3779B9;

    private byte[] bytes = new byte[128];
    /** The end offset of each name in {@link #bytes}, by index; a name starts at the end of the previous name. */
    private int[] ends = new int[8];
    /** The index of each name; the key is its hash code, plus a multiple of {@link #PROBE_STEP} after collisions. */
    private final Int2IntHashMap indexByKey = new Int2IntHashMap(ABSENT);

    private int size;

    private NameTable() {}

    /** Collects names for a table; a builder may be used for one table only. */
    public static final class Builder {
        private final NameTable table = new NameTable();

        /** Returns the index of a name; -1 if the name was not added. */
        public int indexOf(String name) {
            return table.indexOf(name);
        }

        /**
         * Adds a name under the next index; throws {@link IllegalArgumentException} if the name was added before, or
         * if {@value NameTable#MAX_NAMES_PER_HASH} names with the same hash code were added before.
         */
        public void add(String name) {
            table.append(name);
        }

        /** Returns the table of the names that were added. No names may be added after this call. */
        public NameTable build() {
            table.trim();
            return table;
        }
    }

    /** Returns a table of the names in their order; they must be distinct. */
    public static NameTable copyOf(Collection<String> names) {
        if (names instanceof NameTable table) {
            return table;
        }
        Builder builder = new Builder();
        names.forEach(builder::add);
        return builder.build();
    }

    @Override
    public int size() {
        return size;
    }

    @Override
    public String get(int index) {
        if (index < 0 || index >= size) {
            throw new IndexOutOfBoundsException("index " + index + " out of bounds for " + size + " names");
        }
        int start = startOf(index);
        return new String(bytes, start, ends[index] - start, StandardCharsets.UTF_8);
    }

    @Override
    public int indexOf(Object name) {
        return name instanceof String text ? find(text) : ABSENT;
    }

    @Override
    public int lastIndexOf(Object name) {
        return indexOf(name);
    }

    @Override
    public boolean contains(Object name) {
        return indexOf(name) >= 0;
    }

    private int find(String name) {
        int key = name.hashCode();
        int index = indexByKey.get(key);
        while (index != ABSENT && !hasName(index, name)) {
            key += PROBE_STEP;
            index = indexByKey.get(key);
        }
        return index;
    }

    /** Returns the start offset of the name with this index, which may be the index of the next name to add. */
    private int startOf(int index) {
        return index == 0 ? 0 : ends[index - 1];
    }

    private boolean hasName(int index, String name) {
        int start = startOf(index);
        int length = ends[index] - start;
        for (int i = 0; i < name.length(); i++) {
            char c = name.charAt(i);
            if (c >= 0x80) { // a character outside ASCII takes more than one byte
                byte[] encoded = name.getBytes(StandardCharsets.UTF_8);
                return Arrays.equals(bytes, start, ends[index], encoded, 0, encoded.length);
            }
            if (i == length || bytes[start + i] != c) {
                return false;
            }
        }
        return name.length() == length;
    }

    private int findFreeKey(String name) {
        int key = name.hashCode();
        int namesWithSameHash = 0;
        while (indexByKey.get(key) != ABSENT) {
            if (++namesWithSameHash == MAX_NAMES_PER_HASH) {
                throw new IllegalArgumentException(MAX_NAMES_PER_HASH + " names have the hash code of " + name);
            }
            key += PROBE_STEP;
        }
        return key;
    }

    private void append(String name) {
        if (find(name) != ABSENT) {
            throw new IllegalArgumentException("name given twice: " + name);
        }
        int key = findFreeKey(name);
        byte[] encoded = name.getBytes(StandardCharsets.UTF_8);
        int start = startOf(size);
        if (start + encoded.length > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(start + encoded.length, bytes.length + bytes.length / 2));
        }
        if (size == ends.length) {
            ends = Arrays.copyOf(ends, size + size / 2);
        }
        System.arraycopy(encoded, 0, bytes, start, encoded.length);
        ends[size] = start + encoded.length;
        indexByKey.put(key, size++);
    }

    private void trim() {
        bytes = Arrays.copyOf(bytes, startOf(size));
        ends = Arrays.copyOf(ends, size);
        indexByKey.compact();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof NameTable table
                ? Arrays.equals(ends, table.ends) && Arrays.equals(bytes, table.bytes)
                : super.equals(other);
    }

    @Override
    public int hashCode() {
        return super.hashCode();
    }
}

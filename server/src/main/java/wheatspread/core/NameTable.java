package wheatspread.core;

import java.nio.charset.StandardCharsets;
import java.util.AbstractList;
import java.util.Arrays;
import java.util.Collection;
import java.util.RandomAccess;
import org.agrona.collections.Int2IntHashMap;

/**
 * An immutable list of distinct names that finds the index of a name by one hash lookup. All names stand as
 * UTF-8 in one byte array, so that 100,000 of them cost no object each. {@link #get} makes a new string;
 * {@link #indexOf} makes none where the name is ASCII.
 */
public final class NameTable extends AbstractList<String> implements RandomAccess {
    private static final int ABSENT = -1;
    /** How many names may have one hash code; more, which nobody has by chance, would make look-ups slow. */
    static final int MOST_ALIKE = 256;
    /** From the key that another name has taken to the next one to try; odd, so that all keys are tried. */
    private static final int NEXT_KEY = 0x9E3779B9;

    private byte[] bytes = new byte[128];
    /** Where the name of each index ends in {@link #bytes}; it begins where the one before it ends. */
    private int[] ends = new int[8];
    /** From a name's hash code, or a key that follows it by {@link #NEXT_KEY}, to its index. */
    private final Int2IntHashMap byHash = new Int2IntHashMap(ABSENT);

    private int size;

    private NameTable() {}

    /** Gathers names; one builder makes one table. */
    public static final class Builder {
        private final NameTable table = new NameTable();

        /** The index of a name that was added, or -1. */
        public int indexOf(String name) {
            return table.indexOf(name);
        }

        /**
         * Adds a name under the next index; throws {@link IllegalArgumentException} where it is there already,
         * or where very many have its hash code.
         */
        public void add(String name) {
            table.append(name);
        }

        /** The table of all that was added; nothing may be added any more. */
        public NameTable build() {
            table.trim();
            return table;
        }
    }

    /** The names in their order; they must be distinct. */
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
            throw new IndexOutOfBoundsException(index + " of " + size + " names");
        }
        int start = start(index);
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
        int index = byHash.get(key);
        while (index != ABSENT && !isAt(index, name)) {
            key += NEXT_KEY;
            index = byHash.get(key);
        }
        return index;
    }

    private int start(int index) {
        return index == 0 ? 0 : ends[index - 1];
    }

    private boolean isAt(int index, String name) {
        int start = start(index);
        int length = ends[index] - start;
        for (int i = 0; i < name.length(); i++) {
            char c = name.charAt(i);
            if (c >= 0x80) { // not ASCII: a character is not a byte
                byte[] encoded = name.getBytes(StandardCharsets.UTF_8);
                return Arrays.equals(bytes, start, ends[index], encoded, 0, encoded.length);
            }
            if (i == length || bytes[start + i] != c) {
                return false;
            }
        }
        return name.length() == length;
    }

    private int freeKey(String name) {
        int key = name.hashCode();
        int alike = 0;
        while (byHash.get(key) != ABSENT) {
            if (++alike == MOST_ALIKE) {
                throw new IllegalArgumentException(MOST_ALIKE + " names have the hash code of " + name);
            }
            key += NEXT_KEY;
        }
        return key;
    }

    private void append(String name) {
        if (find(name) != ABSENT) {
            throw new IllegalArgumentException("name given twice: " + name);
        }
        int key = freeKey(name);
        byte[] encoded = name.getBytes(StandardCharsets.UTF_8);
        int start = size == 0 ? 0 : ends[size - 1];
        if (start + encoded.length > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(start + encoded.length, bytes.length + bytes.length / 2));
        }
        if (size == ends.length) {
            ends = Arrays.copyOf(ends, size + size / 2);
        }
        System.arraycopy(encoded, 0, bytes, start, encoded.length);
        ends[size] = start + encoded.length;
        byHash.put(key, size++);
    }

    private void trim() {
        bytes = Arrays.copyOf(bytes, size == 0 ? 0 : ends[size - 1]);
        ends = Arrays.copyOf(ends, size);
        byHash.compact();
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

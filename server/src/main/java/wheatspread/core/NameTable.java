package wheatspread.core;

import java.nio.charset.StandardCharsets;
import java.util.AbstractList;
import java.util.Arrays;
import java.util.Collection;
import java.util.RandomAccess;
import org.agrona.collections.Int2IntHashMap;

/**
 * An immutable list of distinct names that finds the index of a name by one hash lookup. All names are kept
 * as UTF-8 in one byte array, so that 100,000 of them cost no object each. {@link #get} makes a new string;
 * {@link #indexOf} makes none where the name is ASCII.
 */
public final class NameTable extends AbstractList<String> implements RandomAccess {
    private static final int ABSENT = -1;
    /** How many names may share one hash code; more, which do not occur by chance, would make look-ups slow. */
    static final int MAX_NAMES_PER_HASH = 256;
    /** The step from a key that another name has taken to the next one; odd, so that all keys are reached. */
    private static final int PROBE_STEP = 0x9E3779B9;

    private byte[] bytes = new byte[128];
    /** The end of each name in {@link #bytes}, by index; a name begins where the one before it ends. */
    private int[] ends = new int[8];
    /** A name's index, by its hash code or a key that follows it in steps of {@link #PROBE_STEP}. */
    private final Int2IntHashMap indexByKey = new Int2IntHashMap(ABSENT);

    private int size;

    private NameTable() {}

    /** Collects names; one builder makes one table. */
    public static final class Builder {
        private final NameTable table = new NameTable();

        /** Returns the index of a name that was added, or -1. */
        public int indexOf(String name) {
            return table.indexOf(name);
        }

        /**
         * Adds a name under the next index; throws {@link IllegalArgumentException} if it was added before, or if
         * {@value NameTable#MAX_NAMES_PER_HASH} names have its hash code already.
         */
        public void add(String name) {
            table.append(name);
        }

        /** Returns the table of all names that were added; no more may be added. */
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
        int index = indexByKey.get(key);
        while (index != ABSENT && !isAt(index, name)) {
            key += PROBE_STEP;
            index = indexByKey.get(key);
        }
        return index;
    }

    /** Where the name of an index begins, or is to begin if it is the next one. */
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
        int sameHash = 0;
        while (indexByKey.get(key) != ABSENT) {
            if (++sameHash == MAX_NAMES_PER_HASH) {
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
        int key = freeKey(name);
        byte[] encoded = name.getBytes(StandardCharsets.UTF_8);
        int start = start(size);
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
        bytes = Arrays.copyOf(bytes, start(size));
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

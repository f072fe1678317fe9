package wheatspread.store;

import java.util.Arrays;

/**
 * Maps the hash of a key to the location of its record. Several keys may have the same hash; the caller compares the
 * keys in the log. The implementation is an ordered hash table with open addressing (O. Amble and D. E. Knuth, "Ordered
 * hash tables", The Computer Journal 17, 1974): the home cell increases with the hash, so that the entries of a table
 * are sorted, a search ends at the first greater hash, and a deletion closes its gap. An entry is three longs in an
 * array; nothing else is stored for a key.
 *
 * <p>The index is split into 64 tables by the upper bits of the hash; each table grows by a quarter when it is four
 * fifths full. Therefore growing never needs much more memory than the entries, which take between 30 and 39 bytes
 * each. Every method holds the lock of the object. The time for which the lock is held does not grow with the number of
 * entries, except in {@link #copy}, which copies one of the 64 tables at a time.
 */
public final class Index {
    /** The number of tables, which {@link #copy} and {@link #sweep} process separately. */
    public static final int TABLES = 64;

    private static final int TABLE_BITS = 6;
    private static final int LONGS_PER_ENTRY = 3;
    private static final int MIN_CAPACITY = 16;
    private static final double MAX_LOAD_FACTOR = 0.8;
    private static final double GROWTH_FACTOR = 1.25;
    private static final double MIN_LOAD_FACTOR = 0.3;

    private final Table[] tables = new Table[TABLES];
    private int size;

    /** Creates an empty index. */
    public Index() {
        for (int i = 0; i < TABLES; i++) {
            tables[i] = new Table();
        }
    }

    /** Receives entries. */
    @FunctionalInterface
    public interface EntryConsumer {
        /**
         * @param location the segment id in the upper 32 bits, the offset of the frame in the lower 32 bits
         * @param length the length of the frame in bytes
         * @param expiry seconds since 1970, or 0 if the record never expires
         */
        void entry(long hash, long location, int length, int expiry);
    }

    /** Packs a segment id, which is 1 or more, and the offset of a frame into a location. */
    public static long location(int file, int offset) {
        return (long) file << 32 | offset & 0xFFFF_FFFFL;
    }

    public static int file(long location) {
        return (int) (location >>> 32);
    }

    public static int offset(long location) {
        return (int) location;
    }

    public synchronized int size() {
        return size;
    }

    /** Returns the bytes of heap that the tables occupy. */
    public synchronized long bytes() {
        long bytes = 0;
        for (Table table : tables) {
            bytes += 16 + 8L * table.cells.length;
        }
        return bytes;
    }

    /**
     * Allocates space for a number of entries in an empty index. Without this reservation, entries that are added in
     * sorted order would cluster in the lower part of each table as it grows.
     */
    public synchronized void reserve(int entries) {
        double mean = entries / (double) TABLES;
        int tableCapacity = (int) Math.ceil((mean + 4 * Math.sqrt(mean)) / MAX_LOAD_FACTOR);
        for (Table table : tables) {
            if (tableCapacity > table.capacity) {
                table.allocate(tableCapacity);
            }
        }
    }

    /** Adds an entry, even if an entry with this hash exists. */
    public synchronized void add(long hash, long location, int length, int expiry) {
        table(hash).add(hash, location, pack(length, expiry));
        size++;
    }

    /** Moves the entry with this hash and location to another location; returns whether the entry existed. */
    public synchronized boolean move(long hash, long from, long to, int length, int expiry) {
        Table table = table(hash);
        int cell = table.find(hash, from);
        if (cell < 0) {
            return false;
        }
        table.cells[cell + 1] = to;
        table.cells[cell + 2] = pack(length, expiry);
        return true;
    }

    /** Removes the entry with this hash and location; returns whether the entry existed. */
    public synchronized boolean remove(long hash, long location) {
        Table table = table(hash);
        int cell = table.find(hash, location);
        if (cell < 0) {
            return false;
        }
        table.remove(cell);
        size--;
        return true;
    }

    /** Returns whether there is an entry of this hash and location. */
    public synchronized boolean has(long hash, long location) {
        return table(hash).find(hash, location) >= 0;
    }

    /** Passes every entry of this hash to a consumer, and returns their number. */
    public synchronized int find(long hash, EntryConsumer consumer) {
        Table table = table(hash);
        int found = 0;
        for (int cell = table.first(hash); table.hasHashAt(cell, hash); cell += LONGS_PER_ENTRY) {
            consumer.entry(hash, table.cells[cell + 1], length(table.cells[cell + 2]), expiry(table.cells[cell + 2]));
            found++;
        }
        return found;
    }

    /** Passes every entry of a table, sorted by hash, to a consumer, which runs without the lock. */
    public void copy(int table, EntryConsumer consumer) {
        long[] cells;
        synchronized (this) {
            cells = tables[table].cells.clone();
        }
        for (int cell = 0; cell < cells.length; cell += LONGS_PER_ENTRY) {
            if (cells[cell + 1] != 0) {
                consumer.entry(cells[cell], cells[cell + 1], length(cells[cell + 2]), expiry(cells[cell + 2]));
            }
        }
    }

    /**
     * Removes the expired entries among some cells of a table and passes them to {@code removed}.
     *
     * @param from the cell to start at: the result of the last call, or 0 for a new pass
     * @param cells the maximum number of cells to examine
     * @param nowSeconds seconds since 1970
     * @return the cell to continue with, or 0 at the end of the table
     */
    public synchronized int sweep(int table, int from, int cells, int nowSeconds, EntryConsumer removed) {
        Table swept = tables[table];
        int cell = from;
        for (int remaining = cells; remaining > 0 && cell < swept.cells.length; remaining--) {
            int expiry = expiry(swept.cells[cell + 2]);
            if (swept.cells[cell + 1] != 0 && expiry != 0 && Integer.compareUnsigned(expiry, nowSeconds) <= 0) {
                removed.entry(swept.cells[cell], swept.cells[cell + 1], length(swept.cells[cell + 2]), expiry);
                int capacity = swept.capacity;
                swept.remove(cell); // the next entry has moved into this cell
                size--;
                if (swept.capacity != capacity) {
                    return 0;
                }
            } else {
                cell += LONGS_PER_ENTRY;
            }
        }
        return cell < swept.cells.length ? cell : 0;
    }

    private Table table(long hash) {
        return tables[(int) (hash >>> 64 - TABLE_BITS)];
    }

    private static long pack(int length, int expiry) {
        return (long) length << 32 | expiry & 0xFFFF_FFFFL;
    }

    private static int length(long packed) {
        return (int) (packed >>> 32);
    }

    private static int expiry(long packed) {
        return (int) packed;
    }

    /** Entries sorted by their hash as an unsigned number; a cell whose location is 0 is free. */
    private static final class Table {
        private int capacity;
        private int used;
        private long[] cells;

        Table() {
            allocate(MIN_CAPACITY);
        }

        private void allocate(int wanted) {
            capacity = wanted;
            // the cells after the capacity take entries that overflow from the last home cells
            cells = new long[LONGS_PER_ENTRY * (wanted + 16 + wanted / 64)];
        }

        /** Returns the preferred cell of a hash, which increases with the hash. */
        private int homeCell(long hash) {
            return (int) ((hash << TABLE_BITS >>> 32) * capacity >>> 32) * LONGS_PER_ENTRY;
        }

        private boolean hasHashAt(int cell, long hash) {
            return cell < cells.length && cells[cell + 1] != 0 && cells[cell] == hash;
        }

        /** Returns the first cell that is free or whose hash is not less. */
        int first(long hash) {
            int cell = homeCell(hash);
            while (cell < cells.length && cells[cell + 1] != 0 && Long.compareUnsigned(cells[cell], hash) < 0) {
                cell += LONGS_PER_ENTRY;
            }
            return cell;
        }

        int find(long hash, long location) {
            for (int cell = first(hash); hasHashAt(cell, hash); cell += LONGS_PER_ENTRY) {
                if (cells[cell + 1] == location) {
                    return cell;
                }
            }
            return -1;
        }

        void add(long hash, long location, long packed) {
            if (used + 1 > capacity * MAX_LOAD_FACTOR) {
                resize((int) Math.ceil(capacity * GROWTH_FACTOR));
            }
            while (!insert(hash, location, packed)) {
                resize((int) Math.ceil(capacity * GROWTH_FACTOR));
            }
            used++;
        }

        private boolean insert(long hash, long location, long packed) {
            int cell = first(hash);
            int free = cell;
            while (free < cells.length && cells[free + 1] != 0) {
                free += LONGS_PER_ENTRY;
            }
            if (free >= cells.length) {
                return false;
            }
            System.arraycopy(cells, cell, cells, cell + LONGS_PER_ENTRY, free - cell);
            cells[cell] = hash;
            cells[cell + 1] = location;
            cells[cell + 2] = packed;
            return true;
        }

        void remove(int cell) {
            int end = cell + LONGS_PER_ENTRY;
            // entries that are not in their home cell move forward by one cell
            while (end < cells.length && cells[end + 1] != 0 && homeCell(cells[end]) < end) {
                end += LONGS_PER_ENTRY;
            }
            System.arraycopy(cells, cell + LONGS_PER_ENTRY, cells, cell, end - cell - LONGS_PER_ENTRY);
            Arrays.fill(cells, end - LONGS_PER_ENTRY, end, 0);
            used--;
            if (capacity > MIN_CAPACITY && used < capacity * MIN_LOAD_FACTOR) {
                resize(Math.max(MIN_CAPACITY, (int) Math.ceil(used / MAX_LOAD_FACTOR * GROWTH_FACTOR)));
            }
        }

        private void resize(int wanted) {
            long[] old = cells;
            for (int next = wanted; ; next = (int) Math.ceil(next * GROWTH_FACTOR)) {
                allocate(next);
                if (refill(old)) {
                    return;
                }
            }
        }

        /** Inserts the old cells in their sorted order; returns false if the new table overflows. */
        private boolean refill(long[] old) {
            int end = 0;
            for (int cell = 0; cell < old.length; cell += LONGS_PER_ENTRY) {
                if (old[cell + 1] != 0) {
                    end = Math.max(end, homeCell(old[cell]));
                    if (end >= cells.length) {
                        return false;
                    }
                    System.arraycopy(old, cell, cells, end, LONGS_PER_ENTRY);
                    end += LONGS_PER_ENTRY;
                }
            }
            return true;
        }
    }
}

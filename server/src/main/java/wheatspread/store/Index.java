package wheatspread.store;

import java.util.Arrays;

/**
 * Maps the hash of a key to the location of its record. Several keys may have the same hash; the caller compares the
 * keys in the log. An ordered table with open addressing (O. Amble and D.
 * E. Knuth, "Ordered hash tables", The Computer Journal 17, 1974): the place asked for grows with the hash,
 * so that the entries of a table stand sorted, a search ends at the first greater one, and a deletion
 * closes its gap. An entry is three longs in one array, and nothing else is kept for a key.
 *
 * <p>The table is 64 tables by the upper bits of the hash, each grown by a quarter when it is four fifths
 * full: no moment needs much more memory than the entries, between 30 and 39 bytes each. Every method holds
 * the lock of the object, for a time that does not grow with the number of entries but for {@link #copy},
 * which takes one of the 64 tables at a time.
 */
public final class Index {
    /** Tables; what {@link #copy} and {@link #sweep} go by. */
    public static final int TABLES = 64;

    private static final int TABLE_BITS = 6;
    private static final int LONGS_PER_ENTRY = 3;
    private static final int MIN_CAPACITY = 16;
    private static final double MAX_LOAD_FACTOR = 0.8;
    private static final double GROWTH_FACTOR = 1.25;
    private static final double MIN_LOAD_FACTOR = 0.3;

    private final Table[] tables = new Table[TABLES];
    private int size;

    /** An empty index. */
    public Index() {
        for (int i = 0; i < TABLES; i++) {
            tables[i] = new Table();
        }
    }

    /** Takes entries one by one. */
    @FunctionalInterface
    public interface EntryConsumer {
        /**
         * @param location the file's id in the upper 32 bits, the frame's offset in the lower ones
         * @param length of the frame in bytes
         * @param expiry seconds since 1970, 0 for never
         */
        void entry(long hash, long at, int length, int expiry);
    }

    /** The place of a frame in one long; the id of a file is 1 or more. */
    public static long location(int file, int offset) {
        return (long) file << 32 | offset & 0xFFFF_FFFFL;
    }

    public static int file(long at) {
        return (int) (at >>> 32);
    }

    public static int offset(long at) {
        return (int) at;
    }

    public synchronized int size() {
        return size;
    }

    /** Bytes of heap that the entries take. */
    public synchronized long bytes() {
        long bytes = 0;
        for (Table table : tables) {
            bytes += 16 + 8L * table.cells.length;
        }
        return bytes;
    }

    /**
     * Makes room for so many entries, of an empty index: entries that come sorted would else crowd the lower
     * part of each table as it grows.
     */
    public synchronized void reserve(int entries) {
        double mean = entries / (double) TABLES;
        int each = (int) Math.ceil((mean + 4 * Math.sqrt(mean)) / MAX_LOAD_FACTOR);
        for (Table table : tables) {
            if (each > table.capacity) {
                table.allocate(each);
            }
        }
    }

    /** Adds an entry, whether or not there is one with this hash. */
    public synchronized void add(long hash, long at, int length, int expiry) {
        table(hash).add(hash, at, pack(length, expiry));
        size++;
    }

    /** Moves the entry of this hash and location to another location; returns whether there was one. */
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

    /** Removes the entry of this hash and location; returns whether there was one. */
    public synchronized boolean remove(long hash, long at) {
        Table table = table(hash);
        int cell = table.find(hash, at);
        if (cell < 0) {
            return false;
        }
        table.remove(cell);
        size--;
        return true;
    }

    /** Whether there is an entry of this hash at this place. */
    public synchronized boolean has(long hash, long at) {
        return table(hash).find(hash, at) >= 0;
    }

    /** Gives every entry of this hash, and returns how many there are. */
    public synchronized int find(long hash, EntryConsumer to) {
        Table table = table(hash);
        int found = 0;
        for (int cell = table.first(hash); table.hasHashAt(cell, hash); cell += LONGS_PER_ENTRY) {
            to.entry(hash, table.cells[cell + 1], length(table.cells[cell + 2]), expiry(table.cells[cell + 2]));
            found++;
        }
        return found;
    }

    /** Gives every entry of one table, sorted by hash. */
    public void copy(int table, EntryConsumer to) {
        long[] cells;
        synchronized (this) {
            cells = tables[table].cells.clone();
        }
        for (int cell = 0; cell < cells.length; cell += LONGS_PER_ENTRY) {
            if (cells[cell + 1] != 0) {
                to.entry(cells[cell], cells[cell + 1], length(cells[cell + 2]), expiry(cells[cell + 2]));
            }
        }
    }

    /**
     * Removes the expired entries among some cells of one table and passes them to {@code gone}.
     *
     * @param from the cell to start at, as the last call returned it; 0 at first
     * @param now seconds since 1970
     * @return the cell to go on with, or 0 when the table has been gone through
     */
    public synchronized int sweep(int table, int from, int cells, int now, EntryConsumer gone) {
        Table all = tables[table];
        int cell = from;
        for (int left = cells; left > 0 && cell < all.cells.length; left--) {
            int expiry = expiry(all.cells[cell + 2]);
            if (all.cells[cell + 1] != 0 && expiry != 0 && Integer.compareUnsigned(expiry, now) <= 0) {
                gone.entry(all.cells[cell], all.cells[cell + 1], length(all.cells[cell + 2]), expiry);
                int capacity = all.capacity;
                all.remove(cell); // what follows has moved up
                size--;
                if (all.capacity != capacity) {
                    return 0;
                }
            } else {
                cell += LONGS_PER_ENTRY;
            }
        }
        return cell < all.cells.length ? cell : 0;
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

    /** Entries sorted by their hash as an unsigned number; a cell whose place is 0 is free. */
    private static final class Table {
        private int capacity;
        private int used;
        private long[] cells;

        Table() {
            allocate(MIN_CAPACITY);
        }

        private void allocate(int wanted) {
            capacity = wanted;
            cells = new long[LONGS_PER_ENTRY * (wanted + 16 + wanted / 64)]; // the last ones run over the end
        }

        /** The cell that a hash asks for; it grows with the hash. */
        private int homeCell(long hash) {
            return (int) ((hash << TABLE_BITS >>> 32) * capacity >>> 32) * LONGS_PER_ENTRY;
        }

        private boolean hasHashAt(int cell, long hash) {
            return cell < cells.length && cells[cell + 1] != 0 && cells[cell] == hash;
        }

        /** The first cell that is free or whose hash is not less. */
        int first(long hash) {
            int cell = homeCell(hash);
            while (cell < cells.length && cells[cell + 1] != 0 && Long.compareUnsigned(cells[cell], hash) < 0) {
                cell += LONGS_PER_ENTRY;
            }
            return cell;
        }

        int find(long hash, long at) {
            for (int cell = first(hash); hasHashAt(cell, hash); cell += LONGS_PER_ENTRY) {
                if (cells[cell + 1] == at) {
                    return cell;
                }
            }
            return -1;
        }

        void add(long hash, long at, long packed) {
            if (used + 1 > capacity * MAX_LOAD_FACTOR) {
                resize((int) Math.ceil(capacity * GROWTH_FACTOR));
            }
            while (!insert(hash, at, packed)) {
                resize((int) Math.ceil(capacity * GROWTH_FACTOR));
            }
            used++;
        }

        private boolean insert(long hash, long at, long packed) {
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
            cells[cell + 1] = at;
            cells[cell + 2] = packed;
            return true;
        }

        void remove(int cell) {
            int end = cell + LONGS_PER_ENTRY;
            // entries that are not in their home cell move up by one
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

        /** The old cells are sorted: each new one stands behind the one before. */
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

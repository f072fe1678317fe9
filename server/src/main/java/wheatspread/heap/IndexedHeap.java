package wheatspread.heap;

import java.util.Arrays;

/**
 * An indexed binary heap (R. Sedgewick and K. Wayne, "Algorithms", 4th edition, section 2.4, index priority
 * queue): elements are indexes from 0 to a bound, each with a key, and the one with the smallest key comes first,
 * of equal keys the one with the smallest index. Since the position of each element is known, its key is changed,
 * and it is removed, in logarithmic time; a plain heap would have to search for it.
 *
 * <p>Keys are compared by {@link Double#compare}, so NaN comes last, but both zeros are equal. The heap takes 4
 * bytes for each possible index and 12 for each element that it held at most. Not safe for use by several
 * threads.
 */
public final class IndexedHeap {
    private static final int INITIAL_CAPACITY = 16;

    /** By index: its position in {@link #indexes} and {@link #keys} plus one, 0 while it is not in the heap. */
    private final int[] positionsPlusOne;

    /** By position: the index there. */
    private int[] indexes = new int[INITIAL_CAPACITY];
    /** By position: the key of the index there. */
    private double[] keys = new double[INITIAL_CAPACITY];

    private int size;

    /** Creates an empty heap for indexes from 0 to {@code bound}, exclusive. */
    public IndexedHeap(int bound) {
        positionsPlusOne = new int[bound];
    }

    /** Returns the number of elements. */
    public int size() {
        return size;
    }

    /**
     * Returns the index with the smallest key.
     *
     * @throws IllegalStateException if the heap is empty
     */
    public int first() {
        if (size == 0) {
            throw new IllegalStateException("first of an empty heap");
        }
        return indexes[0];
    }

    /**
     * Adds an index, or moves it if its key has changed.
     *
     * @return false if the heap had it with this key already
     */
    public boolean put(int index, double key) {
        double sortKey = key + 0.0; // turns a negative zero into a positive one
        if (positionsPlusOne[index] == 0) {
            grow();
            siftUp(size++, index, sortKey);
            return true;
        }
        int position = positionsPlusOne[index] - 1;
        int change = Double.compare(sortKey, keys[position]);
        if (change < 0) {
            siftUp(position, index, sortKey);
        } else if (change > 0) {
            siftDown(position, index, sortKey);
        }
        return change != 0;
    }

    /**
     * Removes an index.
     *
     * @return false if the heap did not have it
     */
    public boolean remove(int index) {
        if (positionsPlusOne[index] == 0) {
            return false;
        }
        int position = positionsPlusOne[index] - 1;
        positionsPlusOne[index] = 0;
        size--;
        if (position < size && siftUp(position, indexes[size], keys[size]) == position) {
            siftDown(position, indexes[size], keys[size]);
        }
        return true;
    }

    private void grow() {
        if (size == indexes.length) {
            indexes = Arrays.copyOf(indexes, 2 * size);
            keys = Arrays.copyOf(keys, 2 * size);
        }
    }

    /** Places an element at a position or at one of its ancestors, and returns where. */
    private int siftUp(int position, int index, double key) {
        int at = position;
        while (at > 0) {
            int parent = (at - 1) >>> 1;
            if (!isBefore(index, key, parent)) {
                break;
            }
            place(at, indexes[parent], keys[parent]);
            at = parent;
        }
        place(at, index, key);
        return at;
    }

    /** Places an element at a position or below it. */
    private void siftDown(int position, int index, double key) {
        int at = position;
        while (2 * at + 1 < size) {
            int child = 2 * at + 1;
            if (child + 1 < size && isBefore(indexes[child + 1], keys[child + 1], child)) {
                child++;
            }
            if (isBefore(index, key, child)) {
                break;
            }
            place(at, indexes[child], keys[child]);
            at = child;
        }
        place(at, index, key);
    }

    /** Whether an element comes before the one at a position. */
    private boolean isBefore(int index, double key, int position) {
        int order = Double.compare(key, keys[position]);
        return order < 0 || order == 0 && index < indexes[position];
    }

    private void place(int position, int index, double key) {
        indexes[position] = index;
        keys[position] = key;
        positionsPlusOne[index] = position + 1;
    }
}

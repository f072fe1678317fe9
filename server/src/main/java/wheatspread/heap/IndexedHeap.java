package wheatspread.heap;

import java.util.Arrays;

/**
 * An indexed binary min-heap (R. Sedgewick and K. Wayne, "Algorithms", 4th edition, section 2.4, index priority queue).
 * Its elements are indexes from 0 to a bound, each with a key. The element with the smallest key is the first; among
 * elements with equal keys, the element with the smallest index is the first. Since the position of each element is
 * stored, changing the key of an element and removing an element take logarithmic time; a plain heap would have to
 * search for the element.
 *
 * <p>Keys are compared by {@link Double#compare}, so NaN is the largest key, except that both zeros are equal. The heap
 * takes 4 bytes for each possible index and 12 bytes for each element of the largest size that the heap has had. Not
 * safe for use by several threads.
 */
public final class IndexedHeap {
    private static final int INITIAL_CAPACITY = 16;

    /** Position of each index in {@link #indexes} and {@link #keys} plus one; 0 if the index is not in the heap. */
    private final int[] positionsPlusOne;

    /** Index at each position. */
    private int[] indexes = new int[INITIAL_CAPACITY];
    /** Key of the index at each position. */
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
            throw new IllegalStateException("heap is empty, expected at least one element");
        }
        return indexes[0];
    }

    /**
     * Adds an index, or changes its key if the heap contains it.
     *
     * @return false if the heap already contained the index with this key
     */
    public boolean put(int index, double key) {
        double sortKey = key + 0.0; // converts negative zero to positive zero
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
     * @return false if the heap did not contain the index
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

    /** Places an element at a position or at one of its ancestors, and returns its new position. */
    private int siftUp(int position, int index, double key) {
        int newPosition = position;
        while (newPosition > 0) {
            int parent = (newPosition - 1) >>> 1;
            if (!isBefore(index, key, parent)) {
                break;
            }
            place(newPosition, indexes[parent], keys[parent]);
            newPosition = parent;
        }
        place(newPosition, index, key);
        return newPosition;
    }

    /** Places an element at a position or at one of its descendants. */
    private void siftDown(int position, int index, double key) {
        int newPosition = position;
        while (2 * newPosition + 1 < size) {
            int child = 2 * newPosition + 1;
            if (child + 1 < size && isBefore(indexes[child + 1], keys[child + 1], child)) {
                child++;
            }
            if (isBefore(index, key, child)) {
                break;
            }
            place(newPosition, indexes[child], keys[child]);
            newPosition = child;
        }
        place(newPosition, index, key);
    }

    /** Returns whether an element precedes the element at a position. */
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

package wheatspread.config;

/**
 * Converts a large list to its final form element by element, so that the parsed form of only one element is in memory.
 * Each reader reads a single list.
 */
interface ListReader {
    /** Returns the maximum number of elements. */
    int maxElements();

    /** Reads the next element. Neither the element nor the lines of its faults may be kept after the call. */
    void read(int index, JsonFields element);
}

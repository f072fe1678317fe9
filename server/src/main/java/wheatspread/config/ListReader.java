package wheatspread.config;

/**
 * Converts a list that may be large into its final form, element by element, so that only one element at a
 * time is in memory as it was parsed. A reader reads one list.
 */
interface ListReader {
    /** How many elements the list may have. */
    int maxElements();

    /** Reads the next element, which must not be kept; nor must the lines of its problems. */
    void read(int index, JsonFields element);
}

package wheatspread.config;

/**
 * Brings a list that may be large into its final form, element by element, so that no more than one element
 * stands in memory as it was read. One reader reads one list.
 */
interface ListReader {
    /** The most elements that the list may have; one with more is refused. */
    int most();

    /** Takes the next element; it, and the lines its complaints name, hold no longer than this call. */
    void read(int index, JsonFields element);
}

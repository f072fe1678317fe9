package wheatspread.lab.capacity;

/** The two sizes of the installation for which the page states each figure. */
public enum Scale {
    /** The planned size. */
    FULL,
    /** A tenth of the planned size. */
    TENTH
}

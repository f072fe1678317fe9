package wheatspread.lab.capacity;

/** The two sizes at which the page gives each figure. */
public enum Scale {
    /** The size that the plan gives. */
    FULL,
    /** A tenth of it. */
    TENTH
}

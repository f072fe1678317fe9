package wheatspread.admission;

/** What requests may call while they run. */
public enum DependencyKind {
    /** Nothing. */
    NONE,
    /** One service that all servers share. */
    SHARED,
    /** The servers of the next tier, which run the same code. */
    TIER
}

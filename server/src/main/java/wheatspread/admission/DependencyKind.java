package wheatspread.admission;

/** The dependency that requests may call while they run. */
public enum DependencyKind {
    /** No dependency. */
    NONE,
    /** A service that all servers share. */
    SHARED,
    /** The servers of the next tier, which run the same code. */
    TIER
}

package wheatspread.admission;

/** What requests may call while they run. */
public enum DependencyKind {
    NONE,
    SHARED,
    TIER
}

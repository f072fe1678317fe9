package wheatspread.admission;

/** What callers make of {@link Actions#advise}. */
public enum LoadFeedbackMode {
    NONE,
    THRESHOLD,
    WINDOW,
    SHARE
}

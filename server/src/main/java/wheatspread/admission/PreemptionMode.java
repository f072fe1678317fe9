package wheatspread.admission;

/** What the host can do with running work. */
public enum PreemptionMode {
    NONE,
    ABORT,
    SUSPEND
}

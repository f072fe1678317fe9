package wheatspread.admission;

/** What the host can do with running work. */
public enum PreemptionMode {
    /** Nothing; every run goes on to its end. */
    NONE,
    /** Stop it for good. */
    ABORT,
    /** Suspend it and resume it later. */
    SUSPEND
}

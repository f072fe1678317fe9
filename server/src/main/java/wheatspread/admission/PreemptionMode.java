package wheatspread.admission;

/** What the kernel can do with running work. */
public enum PreemptionMode {
    /** The kernel cannot preempt; every run continues to its end. */
    NONE,
    /** The kernel can stop a run, which cannot be resumed. */
    ABORT,
    /** The kernel can suspend a run and resume it later. */
    SUSPEND
}

package wheatspread.admission;

/** What clients make of {@link AdmissionController.Actions#setLoadFeedback}. */
public enum LoadFeedbackMode {
    /** Nothing; no value is sent. */
    NONE,
    /** They send nothing whose priority rank is below the value. */
    THRESHOLD,
    /** Each client has at most that many requests outstanding at this server. */
    WINDOW,
    /** They choose this server with this probability when they come across it. */
    SHARE
}

package wheatspread.admission;

/** How clients use the value of {@link AdmissionController.Actions#setLoadFeedback}. */
public enum LoadFeedbackMode {
    /** Clients use no feedback and no value is sent. */
    NONE,
    /** Clients send no request whose priority rank is below the value. */
    THRESHOLD,
    /** Each client has at most this many requests outstanding at this server. */
    WINDOW,
    /** Clients select this server with this probability when their load balancing considers it. */
    SHARE
}

package wheatspread.admission;

/** How a run or a call ended. */
public enum Outcome {
    OK,
    FAILED,
    QUEUE_FULL,
    TIMED_OUT,
    CONNECT_ERROR,
    RESET,
    CANCELED,
    IGNORED
}

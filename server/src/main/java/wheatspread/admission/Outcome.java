package wheatspread.admission;

/** How a run or a dependency call ended. */
public enum Outcome {
    /** With a result. */
    OK,
    /** With an error; a call may have taken effect. */
    FAILED,
    /** The call was rejected before it was treated. */
    QUEUE_FULL,
    /** The call was given up; it may have taken effect. */
    TIMED_OUT,
    /** No connection was made, so the call never arrived. */
    CONNECT_ERROR,
    /** The connection was reset before a reply; the call may have taken effect. */
    RESET,
    /** The run was stopped or suspended, or ended at a call because its answer is no longer needed. */
    CANCELED,
    /** Nothing was started, since the request was done. */
    IGNORED
}

package wheatspread.admission;

/** How a run or a dependency call ended. */
public enum Outcome {
    /** The run or call ended with a result. */
    OK,
    /** The run or call ended with an error; a call may have taken effect. */
    FAILED,
    /** The call was rejected before it was processed. */
    QUEUE_FULL,
    /** The call timed out; it may have taken effect. */
    TIMED_OUT,
    /** No connection was made, so the call never arrived. */
    CONNECT_ERROR,
    /** The connection was reset before a reply; the call may have taken effect. */
    RESET,
    /** The run was stopped or suspended, or ended at a call because its answer is no longer needed. */
    CANCELED,
    /** Nothing was started, since the request was already done. */
    IGNORED
}

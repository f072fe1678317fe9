package wheatspread.admission.sfq;

/** The states of a request in this server. */
enum RequestState {
    /** Read and held in the fair queue. */
    HELD,
    /** Running on the cores; counts against D. */
    RUNNING,
    /** Started, and waiting until its dependency call is made or skipped. */
    AWAITING_CALL,
    /** Started, and waiting for the reply to its dependency call. */
    CALLING,
    /** Waiting, as a duplicate, for the result of the original request. */
    JOINING,
    /** No longer tracked, or suspended and not yet resumed. */
    DONE;

    /** Returns whether a request in this state was started and has not ended. */
    boolean isStarted() {
        return this == RUNNING || this == AWAITING_CALL || this == CALLING;
    }
}

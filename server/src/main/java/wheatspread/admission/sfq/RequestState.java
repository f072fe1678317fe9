package wheatspread.admission.sfq;

/** The states of a request in this server. */
enum RequestState {
    /** Read and waiting for its turn. */
    HELD,
    /** Running on the cores. */
    RUNNING,
    /** Started, and waiting until its dependency call is made or skipped. */
    AWAITING_CALL,
    /** Started, and waiting for the reply to its dependency call. */
    CALLING,
    /** Waiting for the result of the request that it repeats. */
    JOINING,
    /** Not tracked any more, or suspended and not yet resumed. */
    DONE;

    /** Whether a request in this state was started and has not ended. */
    boolean isStarted() {
        return this == RUNNING || this == AWAITING_CALL || this == CALLING;
    }
}

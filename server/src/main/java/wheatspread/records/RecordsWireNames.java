package wheatspread.records;

import wheatspread.admission.Outcome;

/**
 * The keywords of the records service's line protocol. The names of the constants give the meaning of the keywords;
 * their values are fixed by the protocol and must not change.
 */
final class RecordsWireNames {
    /** Starts a call. */
    static final String CALL = "OP";
    /** Cancels a call. */
    static final String CANCEL = "UNOP";
    /** The status of a successful call, the only status with a body. */
    static final String SUCCEEDED = "DONE";

    private RecordsWireNames() {}

    /** Returns the outcome that corresponds to the status of a reply; null if the status is unknown. */
    static Outcome outcome(String status) {
        return switch (status) {
            case SUCCEEDED -> Outcome.OK;
            case "WAIT" -> Outcome.QUEUE_FULL;
            case "EMPTY" -> Outcome.CONNECT_ERROR; // the call never ran, as after a failed connect
            case "PAST" -> Outcome.TIMED_OUT;
            case "ERROR" -> Outcome.FAILED;
            default -> null;
        };
    }
}

package wheatspread.records;

import wheatspread.admission.Outcome;

/**
 * The words of the records service's line protocol, each under the name that the code uses for what it
 * means. The words are fixed by the protocol: rename the constants, never their values.
 */
final class RecordsWireNames {
    /** Starts a call. */
    static final String CALL = "OP";
    /** Cancels a call. */
    static final String CANCEL = "UNOP";
    /** The only status that a body follows. */
    static final String SUCCEEDED = "DONE";

    private RecordsWireNames() {}

    /** Returns the outcome that a reply's status stands for; null for an unknown word. */
    static Outcome outcome(String status) {
        return switch (status) {
            case SUCCEEDED -> Outcome.OK;
            case "WAIT" -> Outcome.QUEUE_FULL;
            case "EMPTY" -> Outcome.CONNECT_ERROR; // proves that the call never ran, as a failed connect does
            case "PAST" -> Outcome.TIMED_OUT;
            case "ERROR" -> Outcome.FAILED;
            default -> null;
        };
    }
}

package wheatspread.peers;

/**
 * Drops messages between this server and others, for test rigs that inject network faults into one process of many
 * members. A dropped message is counted as sent, or as received, like one that a network loses. All methods are called
 * on the event loop's thread.
 */
public interface LinkFilter {
    /** Drops nothing. */
    LinkFilter NONE = new LinkFilter() {};

    /** Whether a message to the server at this advertised address, as {@code host:port}, goes out. */
    default boolean sends(String to) {
        return true;
    }

    /** Whether a message from the server with this advertised address, as {@code host:port}, is read. */
    default boolean receives(String from) {
        return true;
    }
}

package wheatspread.peers;

/**
 * Drops messages between this server and others, for test rigs that inject network faults into a process with many
 * members. A dropped message is counted as sent, or as received, like a message that the network loses. All methods are
 * called on the event loop's thread.
 */
public interface LinkFilter {
    /** Drops nothing. */
    LinkFilter NONE = new LinkFilter() {};

    /** Returns whether to send a message to the server with this advertised address, as {@code host:port}. */
    default boolean sends(String recipient) {
        return true;
    }

    /** Returns whether to read a message from the server with this advertised address, as {@code host:port}. */
    default boolean receives(String sender) {
        return true;
    }
}

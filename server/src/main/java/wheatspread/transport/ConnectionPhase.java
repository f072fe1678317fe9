package wheatspread.transport;

/** The phases of a connection's shutdown. */
enum ConnectionPhase {
    /** Requests are read. */
    OPEN,
    /** The socket is read no more; the messages received before are processed, and the open requests are answered. */
    DRAINING,
    /** Every request is answered: the answers are written, the output is shut, and input is discarded. */
    LINGERING
}

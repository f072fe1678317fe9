package wheatspread.connections;

/** What a front does to a connection of its own when its table decides so. */
public interface ConnectionActions {
    /** Asks the caller to send nothing new here. */
    void lastCall();

    /**
     * Takes no more requests. Once all that is open here is answered the output is shut, and what still comes
     * is thrown away until the caller closes as well: a lingering close.
     */
    void leave();

    /** Closes at once, whatever is still on its way in either direction. */
    void close();

    /** Whether one that lingers has taken some of what waits to be written since this was asked last. */
    boolean advances();

    /** Bytes that wait to be written, all of them. */
    long pendingBytes();

    /** About how many bytes wait to be written, where they are more than the caller should let wait. */
    long waitingBytes();
}

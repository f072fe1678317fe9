package wheatspread.connections;

/** The operations that a {@link ConnectionTable} performs on the channel of a connection. Event loop only. */
public interface ConnectionActions {
    /** Notifies the client that the server is draining and accepts no new requests on this connection. */
    void notifyDraining();

    /**
     * Stops reading requests and starts a lingering close: once every open request is answered, the output is
     * shut, and bytes received after that are discarded until the client closes.
     */
    void drain();

    /** Stops reading until the next answer is written; received bytes wait in the socket. */
    void pauseReadingUntilAnswer();

    /** Closes the channel immediately; data in transit in either direction is lost. */
    void close();

    /**
     * Returns whether a lingering client has read some of its pending answers since the last call, so that its time
     * limit is restarted. The number of calls that return true is limited.
     */
    boolean madeWriteProgress();

    /** Returns the number of bytes that wait to be written. */
    long pendingWriteBytes();

    /**
     * Returns approximately how many pending bytes exceed the low write watermark; 0 if the channel is
     * writable.
     */
    long bytesUntilWritable();
}

package wheatspread.connections;

/** What a front does with one of its connections when the connection's table decides so. */
public interface ConnectionActions {
    /** Notifies the caller that the server is draining and takes no new requests here. */
    void notifyDraining();

    /**
     * Takes no more requests. Once every open request is answered the output is shut, and what still arrives
     * is discarded until the caller closes too: a lingering close.
     */
    void drain();

    /** Closes at once, whatever is still in transit in either direction. */
    void close();

    /** Whether a lingering caller has taken some of its pending answers since the last call. */
    boolean madeWriteProgress();

    /** How many bytes wait to be written. */
    long pendingWriteBytes();

    /** About how many bytes wait to be written beyond the low watermark; 0 if it is not stalled. */
    long bytesUntilWritable();
}

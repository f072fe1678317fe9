package wheatspread.sockets;

/** One caller's connection, as its listener deals with it. */
public interface Caller {
    /** Asks the caller to send nothing new here. */
    void lastCall();

    /** Closes the connection if nothing is open on it and nothing came since that time, in microseconds. */
    void closeIfIdleSince(long time);

    /** Since when nothing is open on it, in Unix microseconds; {@link Long#MAX_VALUE} if something is. */
    long idleSince();

    /** Whether it has ever sent a whole request. */
    boolean asked();

    /** Closes the connection if it began a request before that time, in microseconds, that is not whole. */
    void closeIfMidwaySince(long time);

    /** About how many bytes wait to be written, where they are more than the caller should let wait. */
    long waitingBytes();

    void close();
}

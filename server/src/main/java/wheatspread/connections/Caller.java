package wheatspread.connections;

/** What a front does to a connection of its own when its table decides so. */
public interface Caller {
    /** Asks the caller to send nothing new here. */
    void lastCall();

    /** Reads nothing more, and closes once all that is open here is answered. */
    void leave();

    /** Closes at once. */
    void close();

    /** About how many bytes wait to be written, where they are more than the caller should let wait. */
    long waitingBytes();
}

package wheatspread.connections;

/**
 * One connection in a {@link ConnectionTable}: a node of its table's lists, with nothing in it that a
 * connection at rest doesn't need. Only the table changes it.
 */
public final class Connection {
    /** What a connection is about, as far as its limits go. */
    public enum State {
        /** Accepted, and no byte has come. */
        NEW,
        /** A part of a message has come. */
        SPEAKING,
        /** It waits for answers, and says nothing. */
        ASKING,
        /** It has asked before, and everything is answered. */
        RESTING,
        /** No more requests are read from it; those that are open wait for their answers. */
        LEAVING,
        /** Everything is answered, and its output is being shut; it is there until the caller closes too. */
        LINGERING,
        /** It is no longer in the table. */
        GONE
    }

    final ConnectionActions caller;
    final SourceAddressTable.Source source;
    State state = State.GONE;
    /** Since when it is in this state: since its first byte where it speaks, since its last use otherwise. */
    long since;

    long usedAt;
    int open;
    int held;
    boolean asked;
    boolean leaving;
    /** Woken up by a request that was turned away unseen: it is a sleeper still. */
    boolean asleep;
    /** Bytes wait in its socket that this server was too busy to read, or does not read on purpose. */
    boolean unread;
    /** The neighbours in the list of its state. */
    Connection previous;

    Connection next;
    /** The neighbours among the connections of its source that rest. */
    Connection previousOfSource;

    Connection nextOfSource;

    Connection(ConnectionActions caller, SourceAddressTable.Source source) {
        this.caller = caller;
        this.source = source;
    }

    public State state() {
        return state;
    }

    /** Requests that wait for their answers. */
    public int open() {
        return open;
    }

    /** When it last asked or was answered, or was accepted; microseconds. */
    public long usedAt() {
        return usedAt;
    }

    /** Its request was turned away for it is a sleeper, and that is no use of it. */
    public void sleepsOn(boolean on) {
        asleep = on;
    }

    /** Tells whether bytes wait in its socket that are not its fault: its limits start anew meanwhile. */
    public void unread(boolean waits) {
        unread = waits;
    }
}

package wheatspread.connections;

/**
 * A connection in a {@link ConnectionTable}, and a node of the table's lists. It has no field that an idle
 * connection does not need, because thousands of connections may be idle. Only the table changes a connection,
 * except for the two flags that the transport sets. Used on the event loop only.
 */
public final class Connection {
    /** The state that determines which time limit applies to a connection and whether it may be evicted. */
    public enum State {
        /** The connection was accepted and no byte has been received. */
        NEW,
        /** A part of a message has been received, and no request is open. */
        PARTIAL_MESSAGE,
        /** Requests are open; a part of a further message may have been received. */
        AWAITING_ANSWERS,
        /** The client has sent requests before, and all of them are answered. */
        IDLE,
        /** No more requests are read, and the open requests wait for their answers. */
        DRAINING,
        /** Every request is answered and the output is shut; the server waits for the client to close. */
        LINGERING,
        /** The connection is no longer in the table. */
        CLOSED
    }

    private final ConnectionActions actions;
    private final SourceAddressTable.Source source;
    private State state = State.CLOSED;
    /**
     * The time when the state was entered; for a partial message, when its first byte was received, or when the last
     * open request was answered if that was later.
     */
    private long sinceMicros;

    private long lastUsedMicros;
    private int openRequests;
    private int partialBytes;
    private boolean hasSentRequest;
    private boolean draining;
    /**
     * Whether requests and answers leave the time of last use unchanged: a request that the burst limiter
     * rejected does not count as use.
     */
    private boolean countsAsIdle;
    /** Whether the socket may hold bytes that this server has not read yet, or deliberately does not read. */
    private boolean unread;
    /** The neighbours in the list of the connection's state. */
    private Connection previous;

    private Connection next;
    /** The neighbours among the idle connections of the same source address. */
    private Connection previousOfSource;

    private Connection nextOfSource;

    Connection(ConnectionActions actions, SourceAddressTable.Source source, long nowMicros) {
        this.actions = actions;
        this.source = source;
        lastUsedMicros = nowMicros;
    }

    /** Returns the current state; {@link State#CLOSED} once the table has removed the connection. */
    public State state() {
        return state;
    }

    /** Returns the number of requests that wait for their answers. */
    public int openRequests() {
        return openRequests;
    }

    /** Returns the time of the last request or answer, or of the accept before the first request. */
    public long lastUsedMicros() {
        return lastUsedMicros;
    }

    /** Sets whether requests and answers do not count as use, because the burst limiter rejected a request. */
    public void setCountsAsIdle(boolean countsAsIdle) {
        this.countsAsIdle = countsAsIdle;
    }

    /**
     * Sets whether the socket may hold bytes that this server has not read. Meanwhile the connection is not
     * evicted, and its time limit restarts instead of ending.
     */
    public void setUnread(boolean unread) {
        this.unread = unread;
    }

    ConnectionActions actions() {
        return actions;
    }

    SourceAddressTable.Source source() {
        return source;
    }

    long sinceMicros() {
        return sinceMicros;
    }

    int partialBytes() {
        return partialBytes;
    }

    public boolean isUnread() {
        return unread;
    }

    boolean isDraining() {
        return draining;
    }

    /** Returns whether the connection may be closed in favour of a new connection without losing a request. */
    boolean isEvictable() {
        return openRequests == 0 && !unread;
    }

    void enterState(State newState, long newSinceMicros) {
        state = newState;
        sinceMicros = newSinceMicros;
    }

    void markClosed() {
        state = State.CLOSED;
    }

    void markDraining() {
        draining = true;
    }

    void setOpenRequests(int count) {
        openRequests = count;
    }

    void setPartialBytes(int bytes) {
        partialBytes = bytes;
    }

    void recordRequest(long nowMicros) {
        hasSentRequest = true;
        recordUse(nowMicros);
    }

    void recordUse(long nowMicros) {
        if (!countsAsIdle) {
            lastUsedMicros = nowMicros;
        }
    }

    /** Derives the state from the bytes received, the open requests and the draining flag. */
    State computeState() {
        if (draining) {
            return openRequests > 0 ? State.DRAINING : State.LINGERING;
        }
        if (openRequests > 0) {
            return State.AWAITING_ANSWERS;
        }
        if (partialBytes > 0) {
            return State.PARTIAL_MESSAGE;
        }
        return hasSentRequest ? State.IDLE : State.NEW;
    }

    // ---- links of the table's lists ----

    Connection previous() {
        return previous;
    }

    Connection next() {
        return next;
    }

    void linkPrevious(Connection connection) {
        previous = connection;
    }

    void linkNext(Connection connection) {
        next = connection;
    }

    Connection previousOfSource() {
        return previousOfSource;
    }

    Connection nextOfSource() {
        return nextOfSource;
    }

    void linkPreviousOfSource(Connection connection) {
        previousOfSource = connection;
    }

    void linkNextOfSource(Connection connection) {
        nextOfSource = connection;
    }
}

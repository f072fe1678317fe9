package wheatspread.connections;

/**
 * One connection in a {@link ConnectionTable}: a node of its table's lists, with nothing in it that an idle
 * connection does not need, since there may be thousands. Only the table changes it, except for the marks
 * that the transport sets. Used on the event loop only.
 */
public final class Connection {
    /** What a connection is doing, as far as its limits are concerned. */
    public enum State {
        /** Accepted; no byte has been received. */
        NEW,
        /** A part of a message has been received. */
        PARTIAL_MESSAGE,
        /** Requests are open, and no further message has begun. */
        AWAITING_ANSWERS,
        /** Idle: it has sent requests before, and all of them are answered. */
        IDLE,
        /** No more requests are read; the open ones wait for their answers. */
        DRAINING,
        /** Everything is answered and the output is shut; it stays until the caller closes too. */
        LINGERING,
        /** No longer in the table. */
        CLOSED
    }

    private final ConnectionActions actions;
    private final SourceAddressTable.Source source;
    private State state = State.CLOSED;
    /** When it entered its state; for a partial message when the first byte of it was received. */
    private long sinceMicros;

    private long lastUsedMicros;
    private int openRequests;
    private int partialBytes;
    private boolean hasSentRequest;
    private boolean draining;
    /** A request that the burst limiter rejected does not count as use: the connection is still idle. */
    private boolean countsAsIdle;
    /** Bytes wait in its socket that this server has not read yet, or does not read on purpose. */
    private boolean unread;
    /** The neighbours in the list of its state. */
    private Connection previous;

    private Connection next;
    /** The neighbours among the idle connections of its source. */
    private Connection previousOfSource;

    private Connection nextOfSource;

    Connection(ConnectionActions actions, SourceAddressTable.Source source, long nowMicros) {
        this.actions = actions;
        this.source = source;
        lastUsedMicros = nowMicros;
    }

    /** What it is doing now. */
    public State state() {
        return state;
    }

    /** How many requests wait for their answers. */
    public int openRequests() {
        return openRequests;
    }

    /** When it last sent a request, got an answer or was accepted. */
    public long lastUsedMicros() {
        return lastUsedMicros;
    }

    /** Sets whether it goes on counting as idle, because the burst limiter rejected its request. */
    public void setCountsAsIdle(boolean countAsIdle) {
        countsAsIdle = countAsIdle;
    }

    /** Marks that bytes wait in its socket for this server; its time limits restart meanwhile. */
    public void setUnread(boolean bytesWait) {
        unread = bytesWait;
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

    boolean isUnread() {
        return unread;
    }

    boolean isDraining() {
        return draining;
    }

    /** Whether it may be closed in favour of another one without a request being lost. */
    boolean isEvictable() {
        return openRequests == 0 && !unread;
    }

    void enter(State newState, long newSinceMicros) {
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

    void requestReceived(long nowMicros) {
        hasSentRequest = true;
        used(nowMicros);
    }

    void used(long nowMicros) {
        if (!countsAsIdle) {
            lastUsedMicros = nowMicros;
        }
    }

    /** The state that follows from what has been received and answered. */
    State computeState() {
        if (draining) {
            return openRequests > 0 ? State.DRAINING : State.LINGERING;
        }
        if (partialBytes > 0) {
            return State.PARTIAL_MESSAGE;
        }
        if (openRequests > 0) {
            return State.AWAITING_ANSWERS;
        }
        return hasSentRequest ? State.IDLE : State.NEW;
    }

    // ---- the links of the table's lists ----

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

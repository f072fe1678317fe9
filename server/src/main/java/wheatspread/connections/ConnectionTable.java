package wheatspread.connections;

import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import wheatspread.connections.Connection.State;

/**
 * The connections of one front: which are admitted, which have exceeded a time limit, and which are evicted
 * to make a place for others. It reads no clock and closes nothing by itself: what it decides it carries out
 * through {@link ConnectionActions}. Each state has a list in the order of time, and all connections in a
 * list have the same limit, so only the heads of the lists have to be checked: a connection has no timer, and
 * one that is used again only moves to the end of a list. Used on the event loop only.
 */
public final class ConnectionTable {
    /** How many connections with unread bytes are skipped in search of one to evict. */
    private static final int MAX_SKIPPED = 64;

    private final ConnectionLimits limits;
    private final SourceAddressTable sources = new SourceAddressTable();
    private final TokenBucket acceptRate;
    private final ConnectionCounters counters = new ConnectionCounters();
    private final ConnectionLists lists = new ConnectionLists();
    private final Runnable expiryChanged;
    private int size;
    private long partialBytes;
    private long idleTimeoutMicros;

    /** {@code expiryChanged} is run when a limit may end sooner than {@link #nextExpiryMicros} said before. */
    public ConnectionTable(ConnectionLimits limits, long nowMicros, Runnable expiryChanged) {
        this.limits = limits;
        this.expiryChanged = expiryChanged;
        acceptRate = new TokenBucket(limits.acceptsPerSecond(), limits.acceptBurst(), nowMicros);
        idleTimeoutMicros = limits.idleTimeoutMicros();
    }

    public ConnectionLimits limits() {
        return limits;
    }

    public ConnectionCounters counters() {
        return counters;
    }

    /** How many connections there are. */
    public int size() {
        return size;
    }

    /** How many connections are in a state. */
    public int count(State state) {
        return lists.size(state);
    }

    /** The bytes of partial messages, over all connections. */
    public long partialBytes() {
        return partialBytes;
    }

    // ---- admission and eviction ----

    /**
     * Admits a connection, for which another one may be evicted, or rejects it: then the result is null, and
     * the limits say what its socket gets. {@code sourceAddress} tells sources apart.
     */
    public Connection admit(ConnectionActions actions, long sourceAddress, long nowMicros) {
        if (limits.maxPerSource() > 0
                && sources.connectionsOf(sourceAddress) >= limits.maxPerSource()
                && !evictIdleOf(sourceAddress)) {
            counters.countRejectedSource();
            return null;
        }
        if (size >= limits.maxConnections() && !evictOne(nowMicros)) {
            counters.countRejectedFull();
            return null;
        }
        counters.countAccepted();
        Connection connection = new Connection(actions, sources.of(sourceAddress), nowMicros);
        sources.opened(connection.source());
        size++;
        place(connection, State.NEW, nowMicros);
        return connection;
    }

    /** How long to wait before accepting another connection after this one, in microseconds; 0 for no wait. */
    public long pauseAfterAccept(long nowMicros) {
        long pauseMicros = acceptRate.take(nowMicros);
        if (pauseMicros > 0) {
            counters.countAcceptsPaused();
        }
        return pauseMicros;
    }

    /**
     * Evicts one connection, if any may be. One with an open request never may, nor one that has sent
     * something not read yet, since that may be a request. The order is: lingering ones; those that have sent
     * nothing within the grace; those with a message that is partial for longer than the grace; the one idle
     * for longest of the source with most idle ones; last those within the grace.
     */
    private boolean evictOne(long nowMicros) {
        long graceStartMicros = nowMicros - limits.evictionGraceMicros();
        Connection lingering = lists.first(State.LINGERING);
        if (lingering != null) {
            counters.countEvictedLingering();
            return close(lingering);
        }
        Connection silent = lists.first(State.NEW);
        if (silent != null && silent.sinceMicros() < graceStartMicros && !silent.isUnread()) {
            counters.countEvictedSilent();
            return close(silent);
        }
        Connection partial = lists.first(State.PARTIAL_MESSAGE);
        if (partial != null && partial.sinceMicros() < graceStartMicros && partial.isEvictable()) {
            counters.countEvictedPartial();
            return close(partial);
        }
        Connection idle = firstEvictableOfSource(sources.longestIdleOfLargestSource());
        if (idle != null) {
            counters.countEvictedIdle();
            return close(idle);
        }
        // a flood fills the table within the grace: the newest connection may be a caller with a request or a
        // health check, while the older ones have sent nothing yet
        Connection young = firstEvictable(State.NEW);
        young = young == null ? firstEvictable(State.PARTIAL_MESSAGE) : young;
        if (young != null) {
            counters.countEvictedYoung();
            return close(young);
        }
        return false;
    }

    private boolean evictIdleOf(long sourceAddress) {
        Connection idle = firstEvictableOfSource(sources.of(sourceAddress).longestIdle());
        if (idle == null) {
            return false;
        }
        counters.countEvictedIdle();
        return close(idle);
    }

    private static Connection firstEvictableOfSource(Connection longestIdle) {
        return firstEvictable(longestIdle, Connection::nextOfSource);
    }

    private Connection firstEvictable(State state) {
        return firstEvictable(lists.first(state), Connection::next);
    }

    /** The first evictable connection of a list; null if there is none near its head. */
    private static Connection firstEvictable(Connection head, UnaryOperator<Connection> next) {
        Connection candidate = head;
        for (int skipped = 0; candidate != null && !candidate.isEvictable() && skipped < MAX_SKIPPED; skipped++) {
            candidate = next.apply(candidate);
        }
        return candidate != null && candidate.isEvictable() ? candidate : null;
    }

    /** The idle connection to evict next, whether or not it has unread bytes; null if none is idle. */
    Connection nextIdleToEvict() {
        return sources.longestIdleOfLargestSource();
    }

    private boolean close(Connection connection) {
        closed(connection);
        connection.actions().close();
        return true;
    }

    // ---- what happens on connections ----

    /**
     * Records one read: whether whole messages were in it, how many requests are open now, and how many bytes
     * of a partial message are buffered. If all partial messages together take too much memory, the
     * connections with the oldest ones are drained.
     */
    public void read(Connection connection, long nowMicros, boolean wholeMessages, int openRequests, int bytes) {
        if (connection.state() == State.CLOSED) {
            return;
        }
        partialBytes += bytes - connection.partialBytes();
        connection.setPartialBytes(bytes);
        connection.setOpenRequests(openRequests);
        connection.setUnread(false);
        if (wholeMessages) {
            connection.requestReceived(nowMicros);
        }
        boolean sameMessage = connection.state() == State.PARTIAL_MESSAGE && !wholeMessages && bytes > 0;
        updateState(connection, sameMessage ? connection.sinceMicros() : nowMicros);
        while (partialBytes > limits.maxPartialBytes() && lists.first(State.PARTIAL_MESSAGE) != null) {
            Connection oldest = lists.first(State.PARTIAL_MESSAGE);
            counters.countClosedForMemory();
            drain(oldest, nowMicros);
            oldest.actions().drain();
        }
    }

    /** Records an answer, after which so many requests are open. */
    public void answered(Connection connection, long nowMicros, int openRequests) {
        if (connection.state() != State.CLOSED) {
            connection.setOpenRequests(openRequests);
            connection.used(nowMicros);
            boolean partial = connection.state() == State.PARTIAL_MESSAGE;
            updateState(connection, partial ? connection.sinceMicros() : nowMicros);
        }
    }

    /** Nothing more is read: its partial message is dropped, and it closes once everything is answered. */
    public void drain(Connection connection, long nowMicros) {
        if (connection.state() != State.CLOSED && !connection.isDraining()) {
            connection.markDraining();
            dropPartialMessage(connection);
            updateState(connection, nowMicros);
        }
    }

    private void dropPartialMessage(Connection connection) {
        partialBytes -= connection.partialBytes();
        connection.setPartialBytes(0);
    }

    private void updateState(Connection connection, long sinceMicros) {
        State state = connection.computeState();
        if (state == State.NEW && connection.state() == State.NEW) {
            return; // an empty message does not count
        }
        if (state != connection.state() || sinceMicros != connection.sinceMicros()) {
            remove(connection);
            place(connection, state, sinceMicros);
        }
    }

    /** Removes a connection that is closed, whichever side closed it. */
    public void closed(Connection connection) {
        if (connection.state() != State.CLOSED) {
            remove(connection);
            connection.markClosed();
            size--;
            dropPartialMessage(connection);
            sources.closed(connection.source());
        }
    }

    private void place(Connection connection, State state, long sinceMicros) {
        lists.add(connection, state, sinceMicros);
        if (state == State.IDLE) {
            sources.becameIdle(connection);
        }
        if (lists.first(state) == connection && state != State.AWAITING_ANSWERS) {
            expiryChanged.run();
        }
    }

    private void remove(Connection connection) {
        lists.remove(connection);
        if (connection.state() == State.IDLE) {
            sources.leftIdle(connection);
        }
    }

    // ---- time limits ----

    /**
     * Closes connections that are idle for so many microseconds from now on; 0 means that only the configured
     * limit holds.
     */
    public void closeIdle(long timeoutMicros) {
        long configured = limits.idleTimeoutMicros();
        if (timeoutMicros == 0) {
            idleTimeoutMicros = configured;
        } else {
            idleTimeoutMicros = configured == 0 ? timeoutMicros : Math.min(timeoutMicros, configured);
        }
        expiryChanged.run();
    }

    /** The time limit of a state in microseconds; 0 for none. */
    private long timeoutMicros(State state) {
        return switch (state) {
            case NEW ->
                idleTimeoutMicros == 0
                        ? limits.firstByteTimeoutMicros()
                        : Math.min(idleTimeoutMicros, limits.firstByteTimeoutMicros());
            case PARTIAL_MESSAGE -> limits.messageTimeoutMicros();
            case IDLE -> idleTimeoutMicros;
            case LINGERING -> limits.lingerTimeoutMicros();
            default -> 0;
        };
    }

    private long nextExpiryMicros(State state) {
        Connection connection = lists.first(state);
        long timeoutMicros = timeoutMicros(state);
        return connection == null || timeoutMicros == 0 ? Long.MAX_VALUE : connection.sinceMicros() + timeoutMicros;
    }

    /** When the first limit ends, in microseconds; {@link Long#MAX_VALUE} if none will. */
    public long nextExpiryMicros() {
        return Math.min(
                Math.min(nextExpiryMicros(State.NEW), nextExpiryMicros(State.PARTIAL_MESSAGE)),
                Math.min(nextExpiryMicros(State.IDLE), nextExpiryMicros(State.LINGERING)));
    }

    /**
     * Ends the connections past their limit, {@code max} at most, and returns how many were checked. The rest
     * stays for the next call, and {@link #nextExpiryMicros} shows that there is some.
     */
    public int expire(long nowMicros, int max) {
        int checked = 0;
        for (State state : State.values()) {
            while (state != State.CLOSED && checked < max && nextExpiryMicros(state) <= nowMicros) {
                checked++;
                expire(lists.first(state), nowMicros);
            }
        }
        return checked;
    }

    private void expire(Connection connection, long nowMicros) {
        State state = connection.state();
        if (connection.isUnread()
                || state == State.LINGERING && connection.actions().madeWriteProgress()) {
            remove(connection);
            place(connection, state, nowMicros); // it waits for this server, or still takes its answers
            return;
        }
        counters.countExpired(state);
        if (state == State.LINGERING) {
            close(connection);
        } else {
            drain(connection, nowMicros);
            connection.actions().drain(); // a request on its way must not be answered by a reset
        }
    }

    /** Closes the connection whose unread answers take most memory, because all together take too much. */
    public void closeStalled(Connection connection) {
        counters.countClosedStalled();
        close(connection);
    }

    /** Runs an action on every connection; it may close them. */
    public void forEach(Consumer<ConnectionActions> action) {
        for (Connection connection : lists.toArray(size)) {
            action.accept(connection.actions());
        }
    }
}

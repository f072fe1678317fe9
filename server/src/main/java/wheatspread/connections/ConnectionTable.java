package wheatspread.connections;

import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import wheatspread.connections.Connection.State;

/**
 * Tracks the connections of one front. It decides which connections are admitted, which have exceeded a time
 * limit, and which are evicted in favour of new connections. It reads no clock and accesses no channel directly: it
 * acts on connections through {@link ConnectionActions}. Each state has a list ordered by time, and all
 * connections in a list have the same time limit, so only the heads of the lists have to be checked.
 * Therefore a connection needs no timer, and a use of the connection only moves it to the end of a list.
 * Used on the event loop only.
 */
public final class ConnectionTable {
    /** Bounds the search for a connection to evict: at most this many unevictable connections are skipped. */
    private static final int MAX_SKIPPED_CONNECTIONS = 64;

    private final ConnectionLimits limits;
    private final SourceAddressTable sources = new SourceAddressTable();
    private final TokenBucket acceptTokens;
    private final ConnectionCounters counters = new ConnectionCounters();
    private final ConnectionLists lists = new ConnectionLists();
    private final Runnable onExpiryChanged;
    private int size;
    private long partialBytes;
    private long idleTimeoutMicros;

    /**
     * Creates an empty table. {@code onExpiryChanged} is run whenever a time limit may end before the time that
     * {@link #nextExpiryMicros} returned last.
     */
    public ConnectionTable(ConnectionLimits limits, long nowMicros, Runnable onExpiryChanged) {
        this.limits = limits;
        this.onExpiryChanged = onExpiryChanged;
        acceptTokens = new TokenBucket(limits.acceptsPerSecond(), limits.acceptBurst(), nowMicros);
        idleTimeoutMicros = limits.idleTimeoutMicros();
    }

    public ConnectionLimits limits() {
        return limits;
    }

    public ConnectionCounters counters() {
        return counters;
    }

    /** Returns the number of connections in the table. */
    public int size() {
        return size;
    }

    /** Returns the number of connections in {@code state}. */
    public int count(State state) {
        return lists.size(state);
    }

    /** Returns the bytes of partial messages, summed over all connections. */
    public long partialBytes() {
        return partialBytes;
    }

    // ---- admission and eviction ----

    /**
     * Admits a connection, and evicts another connection for it if a limit is reached. Returns null if the
     * connection is rejected; the transport then closes its socket as {@link ConnectionLimits#rejection} says.
     * {@code sourceAddress} identifies the source, see {@code Listener.sourceOf}.
     */
    public Connection admit(ConnectionActions actions, long sourceAddress, long nowMicros) {
        if (limits.maxConnectionsPerSource() > 0
                && sources.connectionsOf(sourceAddress) >= limits.maxConnectionsPerSource()
                && !evictIdleOf(sourceAddress)) {
            counters.countRejectedSource();
            return null;
        }
        if (size >= limits.maxConnections() && !evictConnection(nowMicros)) {
            counters.countRejectedFull();
            return null;
        }
        counters.countAccepted();
        Connection connection = new Connection(actions, sources.of(sourceAddress), nowMicros);
        sources.opened(connection.source());
        size++;
        addToLists(connection, State.NEW, nowMicros);
        return connection;
    }

    /** Counts an accept against the rate limit; returns the microseconds to wait before the next accept, or 0. */
    public long pauseAfterAccept(long nowMicros) {
        long pauseMicros = acceptTokens.take(nowMicros);
        if (pauseMicros > 0) {
            counters.countAcceptsPaused();
        }
        return pauseMicros;
    }

    /**
     * Evicts a connection; returns false if no connection may be evicted. A connection with an open request is
     * never evicted, nor is a connection with unread bytes, since those may be a request. The order of
     * eviction is: lingering connections; connections that have sent nothing for longer than the grace;
     * connections whose message has been partial for longer than the grace; the longest idle connection of the
     * source with the most idle connections; new and partial connections within the grace.
     */
    private boolean evictConnection(long nowMicros) {
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
        // A connection flood can fill the table within the grace. The newest connection may carry a request or a
        // health check, while the older connections have sent nothing yet.
        Connection withinGrace = firstEvictable(State.NEW);
        withinGrace = withinGrace == null ? firstEvictable(State.PARTIAL_MESSAGE) : withinGrace;
        if (withinGrace != null) {
            counters.countEvictedWithinGrace();
            return close(withinGrace);
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

    /**
     * Returns the first evictable connection of a list; null if there is none among the first
     * {@link #MAX_SKIPPED_CONNECTIONS} + 1.
     */
    private static Connection firstEvictable(Connection head, UnaryOperator<Connection> next) {
        Connection candidate = head;
        for (int skipped = 0;
                candidate != null && !candidate.isEvictable() && skipped < MAX_SKIPPED_CONNECTIONS;
                skipped++) {
            candidate = next.apply(candidate);
        }
        return candidate != null && candidate.isEvictable() ? candidate : null;
    }

    /**
     * Returns the idle connection to evict next, regardless of unread bytes; null if none is idle. For tests.
     */
    Connection nextIdleToEvict() {
        return sources.longestIdleOfLargestSource();
    }

    private boolean close(Connection connection) {
        closed(connection);
        connection.actions().close();
        return true;
    }

    // ---- connection events ----

    /**
     * Records a read: whether it completed any messages, how many requests are open after it, and how many
     * bytes of a partial message are buffered. If all partial messages together exceed their memory limit, the
     * connections with the oldest partial messages are drained. A connection with open requests is not drained, since
     * its client may write further requests, which would be discarded: it is not read until the next answer instead.
     */
    public void read(
            Connection connection, long nowMicros, boolean wholeMessages, int openRequests, int bufferedBytes) {
        if (connection.state() == State.CLOSED) {
            return;
        }
        partialBytes += bufferedBytes - connection.partialBytes();
        connection.setPartialBytes(bufferedBytes);
        connection.setOpenRequests(openRequests);
        connection.setUnread(false);
        if (wholeMessages) {
            connection.recordRequest(nowMicros);
        }
        boolean sameMessage = connection.state() == State.PARTIAL_MESSAGE && !wholeMessages && bufferedBytes > 0;
        updateState(connection, sameMessage ? connection.sinceMicros() : nowMicros);
        while (partialBytes > limits.maxPartialBytes() && lists.first(State.PARTIAL_MESSAGE) != null) {
            Connection oldest = lists.first(State.PARTIAL_MESSAGE);
            counters.countClosedForMemory();
            drain(oldest, nowMicros);
            oldest.actions().drain();
        }
        if (partialBytes > limits.maxPartialBytes() && connection.partialBytes() > 0) {
            counters.countPausedForMemory();
            connection.actions().pauseReadingUntilAnswer();
        }
    }

    /** Records an answer; {@code openRequests} is the number of requests still open after it. */
    public void answered(Connection connection, long nowMicros, int openRequests) {
        if (connection.state() != State.CLOSED) {
            connection.recordUse(nowMicros);
            setOpenRequests(connection, nowMicros, openRequests);
        }
    }

    /** Sets the number of requests that wait for their answers. */
    public void setOpenRequests(Connection connection, long nowMicros, int openRequests) {
        if (connection.state() != State.CLOSED) {
            connection.setOpenRequests(openRequests);
            boolean partial = connection.state() == State.PARTIAL_MESSAGE;
            updateState(connection, partial ? connection.sinceMicros() : nowMicros);
        }
    }

    /**
     * Records that no more requests are read from a connection. Its partial message is dropped, and the connection
     * lingers once every open request is answered.
     */
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
            return; // an empty message does not restart the time limit for the first byte
        }
        if (state != connection.state() || sinceMicros != connection.sinceMicros()) {
            removeFromLists(connection);
            addToLists(connection, state, sinceMicros);
        }
    }

    /** Removes a closed connection, whichever side closed it; does nothing if it was removed before. */
    public void closed(Connection connection) {
        if (connection.state() != State.CLOSED) {
            removeFromLists(connection);
            connection.markClosed();
            size--;
            dropPartialMessage(connection);
            sources.closed(connection.source());
        }
    }

    private void addToLists(Connection connection, State state, long sinceMicros) {
        lists.add(connection, state, sinceMicros);
        if (state == State.IDLE) {
            sources.addIdle(connection);
        }
        if (lists.first(state) == connection && state != State.AWAITING_ANSWERS) {
            onExpiryChanged.run();
        }
    }

    private void removeFromLists(Connection connection) {
        lists.remove(connection);
        if (connection.state() == State.IDLE) {
            sources.removeIdle(connection);
        }
    }

    // ---- time limits ----

    /**
     * Lowers the time limit of idle connections to {@code timeoutMicros} unless the configured limit is lower;
     * 0 restores the configured limit.
     */
    public void limitIdleTime(long timeoutMicros) {
        long configuredMicros = limits.idleTimeoutMicros();
        if (timeoutMicros == 0) {
            idleTimeoutMicros = configuredMicros;
        } else {
            idleTimeoutMicros = configuredMicros == 0 ? timeoutMicros : Math.min(timeoutMicros, configuredMicros);
        }
        onExpiryChanged.run();
    }

    /** Returns the time limit of {@code state} in microseconds; 0 for none. */
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

    /** Returns the time when the first time limit ends, in microseconds; {@link Long#MAX_VALUE} if there is none. */
    public long nextExpiryMicros() {
        return Math.min(
                Math.min(nextExpiryMicros(State.NEW), nextExpiryMicros(State.PARTIAL_MESSAGE)),
                Math.min(nextExpiryMicros(State.IDLE), nextExpiryMicros(State.LINGERING)));
    }

    /**
     * Checks up to {@code maxChecks} connections whose time limit has ended and drains or closes them. Returns
     * the number checked. Further expired connections are left for the next call, and
     * {@link #nextExpiryMicros} then returns a time that is not in the future.
     */
    public int expire(long nowMicros, int maxChecks) {
        int checked = 0;
        for (State state : State.values()) {
            while (state != State.CLOSED && checked < maxChecks && nextExpiryMicros(state) <= nowMicros) {
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
            removeFromLists(connection);
            // the connection waits for this server, or its client still reads answers
            addToLists(connection, state, nowMicros);
            return;
        }
        counters.countExpired(state);
        if (state == State.LINGERING) {
            close(connection);
        } else {
            drain(connection, nowMicros);
            // draining instead of closing avoids a reset in answer to a request in transit
            connection.actions().drain();
        }
    }

    /** Closes and counts a connection whose client does not read its answers, to free the memory of the answers. */
    public void closeStalled(Connection connection) {
        counters.countClosedStalled();
        close(connection);
    }

    /** Runs an action on every connection; the action may close connections. */
    public void forEach(Consumer<ConnectionActions> action) {
        for (Connection connection : lists.toArray(size)) {
            action.accept(connection.actions());
        }
    }
}

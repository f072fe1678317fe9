package wheatspread.connections;

import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import wheatspread.connections.Connection.State;

/**
 * The connections of one front: who is let in, whose time is over, and who makes room. It reads no clock and
 * closes nothing by itself; times are microseconds that never go back, and what it decides it tells the
 * {@link ConnectionActions}s. Each state has a list in the order of time, and all in one list have the same limit, so
 * that the first of each list tells all there is to know: a connection has no timer, and one that is used
 * again only moves to the end of a list.
 */
public final class ConnectionTable {
    private static final int LISTS = State.GONE.ordinal();
    /** So many that have just woken are passed over in search of one that rests. */
    private static final int MAX_PASSED_OVER = 64;

    private final ConnectionLimits limits;
    private final SourceAddressTable sources = new SourceAddressTable();
    private final TokenBucket accepts;
    private final ConnectionCounters counters = new ConnectionCounters();
    private final Connection[] first = new Connection[LISTS];
    private final Connection[] last = new Connection[LISTS];
    private final int[] sizes = new int[LISTS];
    private final Runnable changed;
    private int size;
    private long held;
    private long idle;
    private long latest;

    /** {@code changed} is run when a limit may end sooner than {@link #soonest} said before. */
    public ConnectionTable(ConnectionLimits limits, long now, Runnable changed) {
        this.limits = limits;
        this.changed = changed;
        accepts = new TokenBucket(limits.acceptsPerSecond(), limits.acceptBurst(), now);
        idle = limits.idle();
    }

    public ConnectionLimits limits() {
        return limits;
    }

    public ConnectionCounters counters() {
        return counters;
    }

    public int size() {
        return size;
    }

    public int sizeOf(State state) {
        return sizes[state.ordinal()];
    }

    /** Bytes of messages that are not whole, of all connections together. */
    public long held() {
        return held;
    }

    // ---- who is let in ----

    /**
     * Lets a caller in, for which another one may have to go, or refuses it: then the result is null, and the
     * socket gets what {@link ConnectionLimits#refusal} says. {@code address} tells sources apart.
     */
    public Connection admit(ConnectionActions caller, long address, long now) {
        if (limits.mostOfSource() > 0
                && sources.connectionsOf(address) >= limits.mostOfSource()
                && !evictFrom(address)) {
            counters.refusedSource++;
            return null;
        }
        if (size >= limits.mostConnections() && !evictOne(now)) {
            counters.refusedFull++;
            return null;
        }
        counters.accepted++;
        Connection connection = new Connection(caller, sources.of(address));
        sources.opened(connection.source);
        size++;
        connection.usedAt = now;
        place(connection, State.NEW, now);
        return connection;
    }

    /** How long no further connection should be accepted after this one; 0 if one may be at once. */
    public long pauseAfterAccept(long now) {
        long pause = accepts.take(now);
        counters.paused += pause > 0 ? 1 : 0;
        return pause;
    }

    /**
     * One with an open request never makes room, nor one that has written something that is not read yet: it
     * may be a request. Those that only have to be closed come first, then those that had the time to speak
     * and did not, the ones that began a message and did not end it next, then the source with most at rest,
     * and of these the longest at rest;
     * last those that had no time to speak yet.
     */
    private boolean evictOne(long now) {
        Connection lingering = first[State.LINGERING.ordinal()];
        if (lingering != null) {
            counters.roomLingering++;
            return close(lingering);
        }
        Connection silent = first[State.NEW.ordinal()];
        if (silent != null && silent.since < now - limits.toSpeak() && !silent.unread) {
            counters.roomSilent++;
            return close(silent);
        }
        Connection speaking = firstSpeakingBefore(now - limits.toSpeak());
        if (speaking != null) {
            counters.roomSpeaking++;
            return close(speaking);
        }
        Connection resting = evictableAtRest(sources.longestOfMost());
        if (resting != null) {
            counters.roomResting++;
            return close(resting);
        }
        // a flood fills the table before anybody in it had the time to speak: the one that came last may be
        // a caller with a request or a check, and the others have said nothing yet
        Connection unheard = evictableIn(State.NEW);
        unheard = unheard == null ? evictableIn(State.SPEAKING) : unheard;
        if (unheard != null) {
            counters.roomYoung++;
            return close(unheard);
        }
        return false;
    }

    /** The first of those that began a message before that time, as long as it has nothing open. */
    private Connection firstSpeakingBefore(long before) {
        Connection connection = first[State.SPEAKING.ordinal()];
        return connection != null && connection.since < before && isEvictable(connection) ? connection : null;
    }

    /** The longest at rest of that source that can make room; null if none is near. */
    private static Connection evictableAtRest(Connection longest) {
        return firstEvictable(longest, connection -> connection.nextOfSource);
    }

    /** The longest in this state that can make room; null if none is near. */
    private Connection evictableIn(State state) {
        return firstEvictable(first[state.ordinal()], connection -> connection.next);
    }

    /** The first along a list that has nothing open and nothing unread; null if none is near its head. */
    private static Connection firstEvictable(Connection head, UnaryOperator<Connection> next) {
        Connection candidate = head;
        for (int passed = 0; candidate != null && !isEvictable(candidate) && passed < MAX_PASSED_OVER; passed++) {
            candidate = next.apply(candidate);
        }
        return candidate != null && isEvictable(candidate) ? candidate : null;
    }

    private static boolean isEvictable(Connection connection) {
        return connection.open == 0 && !connection.unread;
    }

    private boolean evictFrom(long address) {
        Connection resting = evictableAtRest(sources.of(address).first);
        if (resting == null) {
            return false;
        }
        counters.roomResting++;
        return close(resting);
    }

    /** Who would be the next to make room of those at rest; null if none is. */
    Connection mostAtRest() {
        return sources.longestOfMost();
    }

    private boolean close(Connection connection) {
        closed(connection);
        connection.caller.close();
        return true;
    }

    // ---- what callers do ----

    /**
     * What one read brought: whether whole messages were among it, how many requests are open now, and how
     * many bytes are held of a message that is not whole. Where all that is held is too much, the one that
     * has spoken for longest leaves.
     */
    public void read(Connection connection, long now, boolean whole, int open, int bytes) {
        if (connection.state == State.GONE) {
            return;
        }
        held += bytes - connection.held;
        connection.held = bytes;
        connection.open = open;
        connection.unread = false;
        if (whole) {
            connection.asked = true;
            connection.usedAt = connection.asleep ? connection.usedAt : now;
        }
        boolean goesOn = connection.state == State.SPEAKING && !whole && bytes > 0;
        settle(connection, goesOn ? connection.since : now);
        while (held > limits.mostHeld() && first[State.SPEAKING.ordinal()] != null) {
            Connection speaker = first[State.SPEAKING.ordinal()];
            counters.closedHeld++;
            leave(speaker, now);
            speaker.caller.leave();
        }
    }

    /** An answer went out, and so many requests are open now. */
    public void answered(Connection connection, long now, int open) {
        if (connection.state != State.GONE) {
            connection.open = open;
            connection.usedAt = connection.asleep ? connection.usedAt : now;
            settle(connection, connection.state == State.SPEAKING ? connection.since : now);
        }
    }

    /** Nothing more is read from it: its held bytes are dropped, and it closes once all is answered. */
    public void leave(Connection connection, long now) {
        if (connection.state != State.GONE && !connection.leaving) {
            connection.leaving = true;
            held -= connection.held;
            connection.held = 0;
            settle(connection, now);
        }
    }

    private void settle(Connection connection, long since) {
        State state = connection.leaving
                ? connection.open > 0 ? State.LEAVING : State.LINGERING
                : connection.held > 0
                        ? State.SPEAKING
                        : connection.open > 0 ? State.ASKING : connection.asked ? State.RESTING : State.NEW;
        if (state == State.NEW && connection.state == State.NEW) {
            return; // empty messages say nothing
        }
        if (state != connection.state || since != connection.since) {
            remove(connection);
            place(connection, state, since);
        }
    }

    /** It is no longer there; no matter who closed it. */
    public void closed(Connection connection) {
        if (connection.state != State.GONE) {
            remove(connection);
            connection.state = State.GONE;
            size--;
            held -= connection.held;
            connection.held = 0;
            sources.closed(connection.source);
        }
    }

    private void place(Connection connection, State state, long since) {
        int list = state.ordinal();
        Connection after = last[list];
        latest = Math.max(latest, since); // a clock that was set back must not break the order of the lists
        connection.state = state;
        connection.since = latest;
        connection.previous = after;
        if (after == null) {
            first[list] = connection;
        } else {
            after.next = connection;
        }
        last[list] = connection;
        sizes[list]++;
        if (state == State.RESTING) {
            sources.rests(connection);
        }
        if (first[list] == connection && state != State.ASKING) {
            changed.run();
        }
    }

    private void remove(Connection connection) {
        int list = connection.state.ordinal();
        if (connection.previous == null) {
            first[list] = connection.next;
        } else {
            connection.previous.next = connection.next;
        }
        if (connection.next == null) {
            last[list] = connection.previous;
        } else {
            connection.next.previous = connection.previous;
        }
        connection.previous = null;
        connection.next = null;
        sizes[list]--;
        if (connection.state == State.RESTING) {
            sources.restsNoMore(connection);
        }
    }

    // ---- whose time is over ----

    /**
     * Connections at rest are closed after so many microseconds; 0 means that only the front's limit holds.
     */
    public void closeIdle(long after) {
        idle = after == 0 ? limits.idle() : limits.idle() == 0 ? after : Math.min(after, limits.idle());
        changed.run();
    }

    private long limitOf(State state) {
        return switch (state) {
            case NEW -> idle == 0 ? limits.firstRequest() : Math.min(idle, limits.firstRequest());
            case SPEAKING -> limits.wholeRequest();
            case RESTING -> idle;
            case LINGERING -> limits.lingering();
            default -> 0;
        };
    }

    private long endOf(State state) {
        Connection connection = first[state.ordinal()];
        long limit = limitOf(state);
        return connection == null || limit == 0 ? Long.MAX_VALUE : connection.since + limit;
    }

    /** When the first limit ends; {@link Long#MAX_VALUE} if none will. */
    public long soonest() {
        return Math.min(
                Math.min(endOf(State.NEW), endOf(State.SPEAKING)),
                Math.min(endOf(State.RESTING), endOf(State.LINGERING)));
    }

    /**
     * Ends the connections whose limit is over, {@code most} at most; returns how many were looked at. The
     * rest stays for the next call, and {@link #soonest} tells that there is some.
     */
    public int expire(long now, int most) {
        int looked = 0;
        for (State state : State.values()) {
            while (state != State.GONE && looked < most && endOf(state) <= now) {
                looked++;
                expire(first[state.ordinal()], now);
            }
        }
        return looked;
    }

    private void expire(Connection connection, long now) {
        if (connection.unread || connection.state == State.LINGERING && connection.caller.advances()) {
            remove(connection);
            place(connection, connection.state, now); // it waits for us, not we for it, or takes what it is owed
            return;
        }
        switch (connection.state) {
            case NEW -> counters.closedSilent++;
            case SPEAKING -> counters.closedHalf++;
            case RESTING -> counters.closedIdle++;
            default -> counters.closedLingering++;
        }
        if (connection.state == State.LINGERING) {
            close(connection);
        } else {
            leave(connection, now);
            connection.caller.leave(); // a request may cross this end, and must not have it reset
        }
    }

    /** One is closed because too much waits to be written to those that do not read, and most to it. */
    public void stalls(Connection connection) {
        counters.closedStalled++;
        close(connection);
    }

    /** Does something to every connection; it may be closed meanwhile. */
    public void forEach(Consumer<ConnectionActions> what) {
        Connection[] all = new Connection[size];
        int count = 0;
        for (Connection head : first) {
            for (Connection connection = head; connection != null; connection = connection.next) {
                all[count++] = connection;
            }
        }
        for (Connection connection : all) {
            what.accept(connection.caller);
        }
    }
}

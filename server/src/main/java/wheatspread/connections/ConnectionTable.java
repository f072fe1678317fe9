package wheatspread.connections;

import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import wheatspread.connections.Connection.State;

/**
 * The connections of one front: who is let in, whose time is over, and who makes room. It reads no clock and
 * closes nothing by itself; times are microseconds that never go back, and what it decides it tells the
 * {@link Caller}s. Each state has a list in the order of time, and all in one list have the same limit, so
 * that the first of each list tells all there is to know: a connection has no timer, and one that is used
 * again only moves to the end of a list.
 */
public final class ConnectionTable {
    private static final int LISTS = State.GONE.ordinal();
    /** So many that have just woken are passed over in search of one that rests. */
    private static final int MOST_WOKEN = 64;

    private final ConnectionLimits limits;
    private final Sources sources = new Sources();
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
    public Connection admit(Caller caller, long address, long now) {
        if (limits.mostOfSource() > 0
                && sources.connectionsOf(address) >= limits.mostOfSource()
                && !makeRoomOf(address)) {
            counters.refusedSource++;
            return null;
        }
        if (size >= limits.mostConnections() && !makeRoom(now)) {
            counters.refusedFull++;
            return null;
        }
        counters.accepted++;
        Connection c = new Connection(caller, sources.of(address));
        sources.opened(c.source);
        size++;
        c.usedAt = now;
        place(c, State.NEW, now);
        return c;
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
    private boolean makeRoom(long now) {
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
        Connection speaking = halfSpoken(now - limits.toSpeak());
        if (speaking != null) {
            counters.roomSpeaking++;
            return close(speaking);
        }
        Connection resting = restingOf(sources.longestOfMost());
        if (resting != null) {
            counters.roomResting++;
            return close(resting);
        }
        // a flood fills the table before anybody in it had the time to speak: the one that came last may be
        // a caller with a request or a check, and the others have said nothing yet
        Connection young = quietIn(State.NEW);
        young = young == null ? quietIn(State.SPEAKING) : young;
        if (young != null) {
            counters.roomYoung++;
            return close(young);
        }
        return false;
    }

    /** The first of those that began a message before that time, as long as it has nothing open. */
    private Connection halfSpoken(long before) {
        Connection c = first[State.SPEAKING.ordinal()];
        return c != null && c.since < before && isQuiet(c) ? c : null;
    }

    /** The longest at rest of that source that can make room; null if none is near. */
    private static Connection restingOf(Connection longest) {
        return firstQuiet(longest, connection -> connection.nextOfSource);
    }

    /** The longest in this state that can make room; null if none is near. */
    private Connection quietIn(State state) {
        return firstQuiet(first[state.ordinal()], connection -> connection.next);
    }

    /** The first along a list that has nothing open and nothing unread; null if none is near its head. */
    private static Connection firstQuiet(Connection head, UnaryOperator<Connection> next) {
        Connection candidate = head;
        for (int passed = 0; candidate != null && !isQuiet(candidate) && passed < MOST_WOKEN; passed++) {
            candidate = next.apply(candidate);
        }
        return candidate != null && isQuiet(candidate) ? candidate : null;
    }

    private static boolean isQuiet(Connection connection) {
        return connection.open == 0 && !connection.unread;
    }

    private boolean makeRoomOf(long address) {
        Connection resting = restingOf(sources.of(address).first);
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

    private boolean close(Connection c) {
        closed(c);
        c.caller.close();
        return true;
    }

    // ---- what callers do ----

    /**
     * What one read brought: whether whole messages were among it, how many requests are open now, and how
     * many bytes are held of a message that is not whole. Where all that is held is too much, the one that
     * has spoken for longest leaves.
     */
    public void read(Connection c, long now, boolean whole, int open, int bytes) {
        if (c.state == State.GONE) {
            return;
        }
        held += bytes - c.held;
        c.held = bytes;
        c.open = open;
        c.unread = false;
        if (whole) {
            c.asked = true;
            c.usedAt = c.asleep ? c.usedAt : now;
        }
        boolean goesOn = c.state == State.SPEAKING && !whole && bytes > 0;
        settle(c, goesOn ? c.since : now);
        while (held > limits.mostHeld() && first[State.SPEAKING.ordinal()] != null) {
            Connection speaker = first[State.SPEAKING.ordinal()];
            counters.closedHeld++;
            leave(speaker, now);
            speaker.caller.leave();
        }
    }

    /** An answer went out, and so many requests are open now. */
    public void answered(Connection c, long now, int open) {
        if (c.state != State.GONE) {
            c.open = open;
            c.usedAt = c.asleep ? c.usedAt : now;
            settle(c, c.state == State.SPEAKING ? c.since : now);
        }
    }

    /** Nothing more is read from it: its held bytes are dropped, and it closes once all is answered. */
    public void leave(Connection c, long now) {
        if (c.state != State.GONE && !c.leaving) {
            c.leaving = true;
            held -= c.held;
            c.held = 0;
            settle(c, now);
        }
    }

    private void settle(Connection c, long since) {
        State state = c.leaving
                ? c.open > 0 ? State.LEAVING : State.LINGERING
                : c.held > 0 ? State.SPEAKING : c.open > 0 ? State.ASKING : c.asked ? State.RESTING : State.NEW;
        if (state == State.NEW && c.state == State.NEW) {
            return; // empty messages say nothing
        }
        if (state != c.state || since != c.since) {
            remove(c);
            place(c, state, since);
        }
    }

    /** It is no longer there; no matter who closed it. */
    public void closed(Connection c) {
        if (c.state != State.GONE) {
            remove(c);
            c.state = State.GONE;
            size--;
            held -= c.held;
            c.held = 0;
            sources.closed(c.source);
        }
    }

    private void place(Connection c, State state, long since) {
        int list = state.ordinal();
        Connection after = last[list];
        latest = Math.max(latest, since); // a clock that was set back must not break the order of the lists
        c.state = state;
        c.since = latest;
        c.previous = after;
        if (after == null) {
            first[list] = c;
        } else {
            after.next = c;
        }
        last[list] = c;
        sizes[list]++;
        if (state == State.RESTING) {
            sources.rests(c);
        }
        if (first[list] == c && state != State.ASKING) {
            changed.run();
        }
    }

    private void remove(Connection c) {
        int list = c.state.ordinal();
        if (c.previous == null) {
            first[list] = c.next;
        } else {
            c.previous.next = c.next;
        }
        if (c.next == null) {
            last[list] = c.previous;
        } else {
            c.next.previous = c.previous;
        }
        c.previous = null;
        c.next = null;
        sizes[list]--;
        if (c.state == State.RESTING) {
            sources.restsNoMore(c);
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
        Connection c = first[state.ordinal()];
        long limit = limitOf(state);
        return c == null || limit == 0 ? Long.MAX_VALUE : c.since + limit;
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

    private void expire(Connection c, long now) {
        if (c.unread || c.state == State.LINGERING && c.caller.advances()) {
            remove(c);
            place(c, c.state, now); // it waits for us, not we for it, or takes what it is owed
            return;
        }
        switch (c.state) {
            case NEW -> counters.closedSilent++;
            case SPEAKING -> counters.closedHalf++;
            case RESTING -> counters.closedIdle++;
            default -> counters.closedLingering++;
        }
        if (c.state == State.LINGERING) {
            close(c);
        } else {
            leave(c, now);
            c.caller.leave(); // a request may cross this end, and must not have it reset
        }
    }

    /** One is closed because too much waits to be written to those that do not read, and most to it. */
    public void stalls(Connection c) {
        counters.closedStalled++;
        close(c);
    }

    /** Does something to every connection; it may be closed meanwhile. */
    public void forEach(Consumer<Caller> what) {
        Connection[] all = new Connection[size];
        int count = 0;
        for (Connection head : first) {
            for (Connection c = head; c != null; c = c.next) {
                all[count++] = c;
            }
        }
        for (Connection c : all) {
            what.accept(c.caller);
        }
    }
}

package wheatspread.connections;

import wheatspread.connections.Connection.State;

/**
 * A doubly linked list of connections for each state, ordered by the time when they entered the state. Times
 * in a list never decrease, even if the clock is set back, so the head of a list is the connection whose time
 * limit ends first. Every operation but {@link #toArray} takes constant time.
 */
final class ConnectionLists {
    private static final int LIST_COUNT = State.CLOSED.ordinal();

    private final Connection[] first = new Connection[LIST_COUNT];
    private final Connection[] last = new Connection[LIST_COUNT];
    private final int[] sizes = new int[LIST_COUNT];
    private long latestMicros;

    /** Returns the connection that has been in {@code state} for the longest time; null if there is none. */
    Connection first(State state) {
        return first[state.ordinal()];
    }

    int size(State state) {
        return sizes[state.ordinal()];
    }

    /** Sets the state of a connection that is in no list and appends it to the list of that state. */
    void add(Connection connection, State state, long sinceMicros) {
        int list = state.ordinal();
        Connection predecessor = last[list];
        latestMicros = Math.max(latestMicros, sinceMicros);
        connection.enterState(state, latestMicros);
        connection.linkPrevious(predecessor);
        if (predecessor == null) {
            first[list] = connection;
        } else {
            predecessor.linkNext(connection);
        }
        last[list] = connection;
        sizes[list]++;
    }

    /** Removes a connection from the list of its state. */
    void remove(Connection connection) {
        int list = connection.state().ordinal();
        Connection previous = connection.previous();
        Connection next = connection.next();
        if (previous == null) {
            first[list] = next;
        } else {
            previous.linkNext(next);
        }
        if (next == null) {
            last[list] = previous;
        } else {
            next.linkPrevious(previous);
        }
        connection.linkPrevious(null);
        connection.linkNext(null);
        sizes[list]--;
    }

    /** Copies all connections; {@code size} is their number. */
    Connection[] toArray(int size) {
        Connection[] connections = new Connection[size];
        int count = 0;
        for (Connection head : first) {
            for (Connection connection = head; connection != null; connection = connection.next()) {
                connections[count++] = connection;
            }
        }
        return connections;
    }
}

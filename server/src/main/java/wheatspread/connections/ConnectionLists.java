package wheatspread.connections;

import wheatspread.connections.Connection.State;

/**
 * One doubly linked list of connections for each state, in the order in which they entered it. Times in a
 * list never decrease, even if the clock is set back, so the head of a list is the connection whose limit
 * ends first. Every operation takes constant time.
 */
final class ConnectionLists {
    private static final int LISTS = State.CLOSED.ordinal();

    private final Connection[] first = new Connection[LISTS];
    private final Connection[] last = new Connection[LISTS];
    private final int[] sizes = new int[LISTS];
    private long latestMicros;

    /** The connection that has been in this state for longest; null if there is none. */
    Connection first(State state) {
        return first[state.ordinal()];
    }

    int size(State state) {
        return sizes[state.ordinal()];
    }

    /** Moves a connection that is in no list to the end of the list of a state. */
    void add(Connection connection, State state, long sinceMicros) {
        int list = state.ordinal();
        Connection predecessor = last[list];
        latestMicros = Math.max(latestMicros, sinceMicros);
        connection.enter(state, latestMicros);
        connection.linkPrevious(predecessor);
        if (predecessor == null) {
            first[list] = connection;
        } else {
            predecessor.linkNext(connection);
        }
        last[list] = connection;
        sizes[list]++;
    }

    /** Takes a connection out of the list of its state. */
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

    /** Copies all connections, which are {@code size} in number. */
    Connection[] toArray(int size) {
        Connection[] all = new Connection[size];
        int count = 0;
        for (Connection head : first) {
            for (Connection connection = head; connection != null; connection = connection.next()) {
                all[count++] = connection;
            }
        }
        return all;
    }
}

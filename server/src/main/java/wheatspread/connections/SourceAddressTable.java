package wheatspread.connections;

import java.util.Arrays;
import org.agrona.collections.Long2ObjectHashMap;

/**
 * Groups the connections of a front by source address and finds the source with the most idle connections.
 * Sources with the same number of idle connections share a list. That number changes by one at a time, so a
 * source always moves to a neighbouring list, and every operation takes constant time.
 */
final class SourceAddressTable {
    private static final int INITIAL_CAPACITY = 16;

    /** A source address with its number of connections and its list of idle connections. */
    static final class Source {
        private final long address;
        private int connections;
        private int idleCount;
        /** The ends of the list of idle connections, the longest idle first. */
        private Connection firstIdle;

        private Connection lastIdle;
        private Source previous;
        private Source next;

        Source(long address) {
            this.address = address;
        }

        long address() {
            return address;
        }

        /** Returns the connection that has been idle for the longest time; null if none is idle. */
        Connection longestIdle() {
            return firstIdle;
        }
    }

    private final Long2ObjectHashMap<Source> byAddress = new Long2ObjectHashMap<>(INITIAL_CAPACITY, 0.65f);
    /** The heads of the lists of sources, indexed by number of idle connections; null for an empty list. */
    private Source[] byIdleCount = new Source[INITIAL_CAPACITY];

    private int maxIdleCount;

    /** Returns the source with this address, or a new, unregistered source if the address has no connections. */
    Source of(long address) {
        Source source = byAddress.get(address);
        return source == null ? new Source(address) : source;
    }

    int connectionsOf(long address) {
        Source source = byAddress.get(address);
        return source == null ? 0 : source.connections;
    }

    int size() {
        return byAddress.size();
    }

    void opened(Source source) {
        if (source.connections++ == 0) {
            byAddress.put(source.address, source);
        }
    }

    void closed(Source source) {
        if (--source.connections == 0) {
            byAddress.remove(source.address);
        }
    }

    /** Appends a connection to the idle connections of its source. */
    void addIdle(Connection connection) {
        Source source = connection.source();
        connection.linkPreviousOfSource(source.lastIdle);
        if (source.lastIdle == null) {
            source.firstIdle = connection;
        } else {
            source.lastIdle.linkNextOfSource(connection);
        }
        source.lastIdle = connection;
        changeIdleCount(source, 1);
    }

    /** Removes a connection from the idle connections of its source. */
    void removeIdle(Connection connection) {
        Source source = connection.source();
        Connection previous = connection.previousOfSource();
        Connection next = connection.nextOfSource();
        if (previous == null) {
            source.firstIdle = next;
        } else {
            previous.linkNextOfSource(next);
        }
        if (next == null) {
            source.lastIdle = previous;
        } else {
            next.linkPreviousOfSource(previous);
        }
        connection.linkPreviousOfSource(null);
        connection.linkNextOfSource(null);
        changeIdleCount(source, -1);
    }

    private void changeIdleCount(Source source, int change) {
        if (source.idleCount > 0) {
            unlink(source);
        }
        source.idleCount += change;
        if (source.idleCount >= byIdleCount.length) {
            byIdleCount = Arrays.copyOf(byIdleCount, 2 * byIdleCount.length);
        }
        if (source.idleCount > 0) {
            Source head = byIdleCount[source.idleCount];
            source.next = head;
            if (head != null) {
                head.previous = source;
            }
            byIdleCount[source.idleCount] = source;
        }
        // counts change by one, so if the top list became empty, its last source is now in the next lower list
        maxIdleCount = Math.max(maxIdleCount, source.idleCount);
        if (byIdleCount[maxIdleCount] == null && maxIdleCount > 0) {
            maxIdleCount--;
        }
    }

    private void unlink(Source source) {
        if (source.previous == null) {
            byIdleCount[source.idleCount] = source.next;
        } else {
            source.previous.next = source.next;
        }
        if (source.next != null) {
            source.next.previous = source.previous;
        }
        source.previous = null;
        source.next = null;
    }

    /** Returns the longest idle connection of a source with the most idle connections; null if none is idle. */
    Connection longestIdleOfLargestSource() {
        return maxIdleCount == 0 ? null : byIdleCount[maxIdleCount].firstIdle;
    }
}

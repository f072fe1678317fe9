package wheatspread.connections;

import java.util.Arrays;
import org.agrona.collections.Long2ObjectHashMap;

/**
 * The connections of a front by source address, and which source has most idle ones. Sources with equally
 * many idle connections are in one list, and a source moves by one list at a time, so every operation takes
 * constant time.
 */
final class SourceAddressTable {
    private static final int INITIAL_CAPACITY = 16;

    /** One address with its connections. */
    static final class Source {
        private final long address;
        private int connections;
        private int idleCount;
        /** The ends of the list of idle connections; the one that is idle for longest comes first. */
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

        /** The connection that is idle for longest; null if none is idle. */
        Connection longestIdle() {
            return firstIdle;
        }
    }

    private final Long2ObjectHashMap<Source> byAddress = new Long2ObjectHashMap<>(INITIAL_CAPACITY, 0.65f);
    /** By the number of idle connections, the heads of the lists of sources; null for an empty list. */
    private Source[] byIdleCount = new Source[INITIAL_CAPACITY];

    private int maxIdleCount;

    /** The source with this address, which is a new one as long as it has no connection. */
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

    /** A connection has become idle, as the last one of its source. */
    void becameIdle(Connection connection) {
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

    /** A connection is idle no longer. */
    void leftIdle(Connection connection) {
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
        // counts change by one, so the list below an emptied one holds the source that left it
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

    /** The connection idle for longest of a source with most idle connections; null if none is idle. */
    Connection longestIdleOfLargestSource() {
        return maxIdleCount == 0 ? null : byIdleCount[maxIdleCount].firstIdle;
    }
}

package wheatspread.connections;

import java.util.Arrays;
import org.agrona.collections.Long2ObjectHashMap;

/**
 * The connections of a front by the address they come from, and which source has most at rest. Sources with
 * equally many stand in one list, and a source moves by one list at a time, so that everything here takes
 * constant time.
 */
final class SourceAddressTable {
    /** One address, with what it holds. */
    static final class Source {
        final long address;
        int connections;
        int resting;
        /** The longest at rest comes first. */
        Connection first;

        Connection last;
        private Source previous;
        private Source next;

        Source(long address) {
            this.address = address;
        }
    }

    private final Long2ObjectHashMap<Source> byAddress = new Long2ObjectHashMap<>(16, 0.65f);
    /** By the number of connections at rest; null where no source has so many. */
    private Source[] byResting = new Source[16];

    private int most;

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

    /** A connection came to rest, the last one of its source to do so. */
    void rests(Connection connection) {
        Source source = connection.source;
        connection.previousOfSource = source.last;
        if (source.last == null) {
            source.first = connection;
        } else {
            source.last.nextOfSource = connection;
        }
        source.last = connection;
        move(source, 1);
    }

    void restsNoMore(Connection connection) {
        Source source = connection.source;
        if (connection.previousOfSource == null) {
            source.first = connection.nextOfSource;
        } else {
            connection.previousOfSource.nextOfSource = connection.nextOfSource;
        }
        if (connection.nextOfSource == null) {
            source.last = connection.previousOfSource;
        } else {
            connection.nextOfSource.previousOfSource = connection.previousOfSource;
        }
        connection.previousOfSource = null;
        connection.nextOfSource = null;
        move(source, -1);
    }

    private void move(Source source, int by) {
        if (source.resting > 0) {
            unlink(source);
        }
        source.resting += by;
        if (source.resting >= byResting.length) {
            byResting = Arrays.copyOf(byResting, 2 * byResting.length);
        }
        if (source.resting > 0) {
            Source head = byResting[source.resting];
            source.next = head;
            if (head != null) {
                head.previous = source;
            }
            byResting[source.resting] = source;
        }
        // counts change by one, so the list below the emptied one holds the source that left it
        most = Math.max(most, source.resting);
        if (byResting[most] == null && most > 0) {
            most--;
        }
    }

    private void unlink(Source source) {
        if (source.previous == null) {
            byResting[source.resting] = source.next;
        } else {
            source.previous.next = source.next;
        }
        if (source.next != null) {
            source.next.previous = source.previous;
        }
        source.previous = null;
        source.next = null;
    }

    /** The connection longest at rest of a source that has most at rest; null if none rests. */
    Connection longestOfMost() {
        return most == 0 ? null : byResting[most].first;
    }
}

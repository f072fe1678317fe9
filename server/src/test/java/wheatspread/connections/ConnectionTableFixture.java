package wheatspread.connections;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import wheatspread.connections.Connection.State;
import wheatspread.connections.ConnectionLimits.Rejection;

/** Provides a connection table with a settable clock and fake connections that record their actions. */
abstract class ConnectionTableFixture {
    protected static final long SECOND_MICROS = 1_000_000;

    protected final List<String> events = new ArrayList<>();
    /** The names of connections whose clients read some of their pending answers between two checks. */
    protected final Set<String> readingAnswers = new HashSet<>();

    protected long nowMicros = 50 * SECOND_MICROS;
    protected int expiryChanges;
    protected ConnectionTable table = table(4, 0, 0);

    protected ConnectionTable table(int maxConnections, int maxConnectionsPerSource, long idleTimeoutMicros) {
        return new ConnectionTable(
                new ConnectionLimits(
                        maxConnections,
                        maxConnectionsPerSource,
                        100,
                        2,
                        2 * SECOND_MICROS,
                        3 * SECOND_MICROS,
                        idleTimeoutMicros,
                        SECOND_MICROS,
                        SECOND_MICROS / 5,
                        1_000,
                        1_000,
                        Rejection.CLOSE),
                nowMicros,
                () -> expiryChanges++);
    }

    protected final class RecordingActions implements ConnectionActions {
        private final String name;

        RecordingActions(String name) {
            this.name = name;
        }

        @Override
        public void notifyDraining() {
            events.add(name + " notified");
        }

        @Override
        public void drain() {
            events.add(name + " drained");
        }

        @Override
        public void pauseReadingUntilAnswer() {
            events.add(name + " paused");
        }

        @Override
        public void close() {
            events.add(name + " closed");
        }

        @Override
        public long bytesUntilWritable() {
            return 0;
        }

        @Override
        public boolean madeWriteProgress() {
            return readingAnswers.contains(name);
        }

        @Override
        public long pendingWriteBytes() {
            return 0;
        }
    }

    protected Connection admit(String name, long source) {
        return table.admit(new RecordingActions(name), source, nowMicros);
    }

    protected Connection admitIdle(String name, long source) {
        Connection connection = admit(name, source);
        table.read(connection, nowMicros, true, 1, 0);
        table.answered(connection, nowMicros, 0);
        assertThat(connection.state()).isEqualTo(State.IDLE);
        return connection;
    }

    /** Advances the clock, expires connections and returns only the actions that followed. */
    protected List<String> expire(long micros) {
        nowMicros += micros;
        events.clear();
        table.expire(nowMicros, 100);
        return events;
    }
}

package wheatspread.connections;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import wheatspread.connections.Connection.State;
import wheatspread.connections.ConnectionLimits.Rejection;

/** A connection table with a clock and callers under the control of a test. */
abstract class ConnectionTableFixture {
    protected static final long SECOND = 1_000_000;

    protected final List<String> events = new ArrayList<>();
    /** Names of callers that take some of their pending answers between two checks. */
    protected final Set<String> advancing = new HashSet<>();

    protected long now = 50 * SECOND;
    protected int changes;
    protected ConnectionTable table = table(4, 0, 0);

    protected ConnectionTable table(int maxConnections, int maxPerSource, long idleTimeoutMicros) {
        return new ConnectionTable(
                new ConnectionLimits(
                        maxConnections,
                        maxPerSource,
                        100,
                        2,
                        2 * SECOND,
                        3 * SECOND,
                        idleTimeoutMicros,
                        SECOND,
                        SECOND / 5,
                        1_000,
                        1_000,
                        Rejection.CLOSE),
                now,
                () -> changes++);
    }

    protected final class FakeActions implements ConnectionActions {
        private final String name;

        FakeActions(String name) {
            this.name = name;
        }

        @Override
        public void notifyDraining() {
            events.add(name + " last call");
        }

        @Override
        public void drain() {
            events.add(name + " leaves");
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
            return advancing.contains(name);
        }

        @Override
        public long pendingWriteBytes() {
            return 0;
        }
    }

    protected Connection open(String name, long source) {
        return table.admit(new FakeActions(name), source, now);
    }

    protected Connection idle(String name, long source) {
        Connection connection = open(name, source);
        table.read(connection, now, true, 1, 0);
        table.answered(connection, now, 0);
        assertThat(connection.state()).isEqualTo(State.IDLE);
        return connection;
    }

    protected List<String> expire(long micros) {
        now += micros;
        events.clear();
        table.expire(now, 100);
        return events;
    }
}

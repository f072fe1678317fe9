package wheatspread.lab.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import wheatspread.connections.Connection;
import wheatspread.connections.ConnectionActions;
import wheatspread.connections.ConnectionLimits;
import wheatspread.connections.ConnectionTable;

/**
 * Measures a connection table of {@code size} connections against plain structures in three cases: a connection is
 * used and becomes idle again; the table is checked for expired connections (a scan would run ten times a second);
 * and a connection is accepted at a full server, so that another is evicted.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class ConnectionsBenchmark {
    private static final long IDLE_TIMEOUT_MICROS = 60_000_000;

    @Param({"1000", "10000", "100000"})
    private int size;

    private long nowMicros;
    private int position;
    private ConnectionTable table;
    private Connection[] nodes;
    private Set<PlainConnection> set;
    private PlainConnection[] plain;
    private PriorityQueue<PlainConnection> heap;

    private static final class PlainConnection {
        private long usedAtMicros;
        private long deadlineMicros;
    }

    private static final class NoActions implements ConnectionActions {
        @Override
        public void notifyDraining() {}

        @Override
        public void drain() {}

        @Override
        public void pauseReadingUntilAnswer() {}

        @Override
        public void close() {}

        @Override
        public long bytesUntilWritable() {
            return 0;
        }

        @Override
        public boolean madeWriteProgress() {
            return false;
        }

        @Override
        public long pendingWriteBytes() {
            return 0;
        }
    }

    /** Fills all structures with the same idle connections from a hundred source addresses. */
    @Setup(Level.Iteration)
    public void fill() {
        nowMicros = 1_000_000;
        ConnectionLimits defaults = ConnectionLimits.defaults(size);
        table = new ConnectionTable(
                new ConnectionLimits(
                        size,
                        0,
                        0,
                        1_000,
                        defaults.firstByteTimeoutMicros(),
                        defaults.messageTimeoutMicros(),
                        IDLE_TIMEOUT_MICROS,
                        defaults.lingerTimeoutMicros(),
                        defaults.evictionGraceMicros(),
                        defaults.maxPartialBytes(),
                        defaults.maxPendingWriteBytes(),
                        defaults.rejection()),
                nowMicros,
                () -> {});
        nodes = new Connection[size];
        plain = new PlainConnection[size];
        set = new LinkedHashSet<>();
        heap = new PriorityQueue<>(Comparator.comparingLong(p -> p.deadlineMicros));
        for (int i = 0; i < size; i++) {
            nodes[i] = table.admit(new NoActions(), i % 100, nowMicros);
            table.read(nodes[i], nowMicros, true, 0, 0);
            plain[i] = new PlainConnection();
            plain[i].usedAtMicros = nowMicros;
            plain[i].deadlineMicros = nowMicros + IDLE_TIMEOUT_MICROS;
            set.add(plain[i]);
            heap.add(plain[i]);
        }
    }

    private int step() {
        nowMicros += 100;
        position = position + 1 == size ? 0 : position + 1;
        return position;
    }

    /** A connection is read and answered, and becomes idle again. */
    @Benchmark
    public long useWithLists() {
        Connection c = nodes[step()];
        table.read(c, nowMicros, true, 1, 0);
        table.answered(c, nowMicros, 0);
        return table.nextExpiryMicros();
    }

    /** The idle timer is cancelled and set again, as in Netty's heap of scheduled tasks. */
    @Benchmark
    public long useWithAHeapOfTimers() {
        PlainConnection c = plain[step()];
        c.usedAtMicros = nowMicros;
        PlainConnection renewed = new PlainConnection();
        renewed.deadlineMicros = nowMicros + IDLE_TIMEOUT_MICROS;
        heap.add(renewed);
        while (heap.size() > 2 * size) {
            heap.poll();
        }
        return heap.peek().deadlineMicros;
    }

    /** Checks for expired connections in the table's lists. */
    @Benchmark
    public int lookWithLists() {
        return table.expire(nowMicros, 32);
    }

    /** Checks for expired connections with a copy and a scan of all connections. */
    @Benchmark
    public long lookWithAScan() {
        long oldest = Long.MAX_VALUE;
        List<PlainConnection> copy = new ArrayList<>(set);
        for (PlainConnection connection : copy) {
            oldest = Math.min(oldest, connection.usedAtMicros);
        }
        return oldest;
    }

    /** A full table evicts a connection found by its lists. */
    @Benchmark
    public Object makeRoomWithLists() {
        nowMicros += 100;
        Connection c = table.admit(new NoActions(), position++ % 100, nowMicros);
        table.read(c, nowMicros, true, 0, 0);
        return c;
    }

    /** A full table evicts the connection that was idle longest, found by a scan of all connections. */
    @Benchmark
    public Object makeRoomWithAScan() {
        nowMicros += 100;
        PlainConnection longestIdle = set.stream()
                .min(Comparator.comparingLong((PlainConnection p) -> p.usedAtMicros))
                .orElseThrow();
        set.remove(longestIdle);
        PlainConnection added = new PlainConnection();
        added.usedAtMicros = nowMicros;
        set.add(added);
        return added;
    }
}

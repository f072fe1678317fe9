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
 * One connection of {@code size} is used and comes to rest again, and time is looked at (ten times a second
 * with a sweep); and one more comes to a full server, so that another has to make room.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class ConnectionsBenchmark {
    private static final long IDLE = 60_000_000;

    @Param({"1000", "10000", "100000"})
    private int size;

    private long now;
    private int at;
    private ConnectionTable table;
    private Connection[] nodes;
    private Set<Plain> set;
    private Plain[] plain;
    private PriorityQueue<Plain> heap;

    private static final class Plain {
        private long usedAt;
        private long deadline;
    }

    private static final class Nobody implements ConnectionActions {
        @Override
        public void notifyDraining() {}

        @Override
        public void drain() {}

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

    /** Fills all alike: everybody rests, from a hundred sources. */
    @Setup(Level.Iteration)
    public void fill() {
        now = 1_000_000;
        ConnectionLimits usual = ConnectionLimits.defaults(size);
        table = new ConnectionTable(
                new ConnectionLimits(
                        size,
                        0,
                        0,
                        1_000,
                        usual.firstByteTimeoutMicros(),
                        usual.messageTimeoutMicros(),
                        IDLE,
                        usual.lingerTimeoutMicros(),
                        usual.evictionGraceMicros(),
                        usual.maxPartialBytes(),
                        usual.maxPendingWriteBytes(),
                        usual.rejection()),
                now,
                () -> {});
        nodes = new Connection[size];
        plain = new Plain[size];
        set = new LinkedHashSet<>();
        heap = new PriorityQueue<>(Comparator.comparingLong(p -> p.deadline));
        for (int i = 0; i < size; i++) {
            nodes[i] = table.admit(new Nobody(), i % 100, now);
            table.read(nodes[i], now, true, 0, 0);
            plain[i] = new Plain();
            plain[i].usedAt = now;
            plain[i].deadline = now + IDLE;
            set.add(plain[i]);
            heap.add(plain[i]);
        }
    }

    private int step() {
        now += 100;
        at = at + 1 == size ? 0 : at + 1;
        return at;
    }

    /** A connection is read, answered and comes to rest again. */
    @Benchmark
    public long useWithLists() {
        Connection c = nodes[step()];
        table.read(c, now, true, 1, 0);
        table.answered(c, now, 0);
        return table.nextExpiryMicros();
    }

    /** The timer is cancelled and set again, as Netty's heap would. */
    @Benchmark
    public long useWithAHeapOfTimers() {
        Plain c = plain[step()];
        c.usedAt = now;
        Plain again = new Plain();
        again.deadline = now + IDLE;
        heap.add(again);
        while (heap.size() > 2 * size) {
            heap.poll();
        }
        return heap.peek().deadline;
    }

    /** What a look at the time costs with lists. */
    @Benchmark
    public int lookWithLists() {
        return table.expire(now, 32);
    }

    /** What a look at the time costs with a copy and a walk, as it was. */
    @Benchmark
    public long lookWithAScan() {
        long oldest = Long.MAX_VALUE;
        List<Plain> copy = new ArrayList<>(set);
        for (Plain one : copy) {
            oldest = Math.min(oldest, one.usedAt);
        }
        return oldest;
    }

    /** A full table evicts a connection, found by its lists. */
    @Benchmark
    public Object makeRoomWithLists() {
        now += 100;
        Connection c = table.admit(new Nobody(), at++ % 100, now);
        table.read(c, now, true, 0, 0);
        return c;
    }

    /** A full table evicts a connection, found by a walk over all. */
    @Benchmark
    public Object makeRoomWithAScan() {
        now += 100;
        Plain least = set.stream()
                .min(Comparator.comparingLong((Plain p) -> p.usedAt))
                .orElseThrow();
        set.remove(least);
        Plain more = new Plain();
        more.usedAt = now;
        set.add(more);
        return more;
    }
}

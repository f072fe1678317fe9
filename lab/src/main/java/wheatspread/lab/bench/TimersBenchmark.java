package wheatspread.lab.bench;

import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.agrona.DeadlineTimerWheel;
import org.agrona.collections.Long2ObjectHashMap;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import wheatspread.timers.TimerWheel;

/**
 * A request comes while {@code size} others are in hand: its due time is set, time goes on by a tenth of a
 * millisecond, and another request's due time is cancelled, since most are answered long before.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class TimersBenchmark {
    private static final long STEP = 100;
    private static final long TICK = 1_024;

    @Param({"1000", "10000", "100000"})
    private int size;

    private final Random random = new Random(1);
    private long[] ahead;
    private int at;
    private long now;
    private TimerWheel wheel;
    private Task[] tasks;
    private DeadlineTimerWheel agrona;
    private Long2ObjectHashMap<Task> byNumber;
    private long[] numbers;
    private PriorityQueue<Task> heap;
    private long rung;

    private final class Task extends TimerWheel.Timer implements Comparable<Task> {
        private long deadline;

        @Override
        protected void onExpiry() {
            rung++;
        }

        @Override
        public int compareTo(Task other) {
            return Long.compare(deadline, other.deadline);
        }
    }

    /** Fills all three alike. */
    @Setup
    public void fill() {
        now = 1_000_000;
        wheel = new TimerWheel(now);
        agrona = new DeadlineTimerWheel(TimeUnit.MICROSECONDS, now, TICK, 4_096, 32);
        byNumber = new Long2ObjectHashMap<>(size * 2, 0.65f);
        heap = new PriorityQueue<>(size);
        tasks = new Task[size];
        numbers = new long[size];
        ahead = new long[1 << 16];
        for (int i = 0; i < ahead.length; i++) {
            ahead[i] = 7_000_000 + random.nextInt(7_000_000);
        }
        for (int i = 0; i < size; i++) {
            tasks[i] = new Task();
            tasks[i].deadline = now + ahead[i & 0xFFFF];
            wheel.set(tasks[i], tasks[i].deadline);
            numbers[i] = agrona.scheduleTimer(tasks[i].deadline);
            byNumber.put(numbers[i], tasks[i]);
            heap.add(tasks[i]);
        }
    }

    private int step() {
        now += STEP;
        at = at + 1 == size ? 0 : at + 1;
        return at;
    }

    /** The program's timer wheel. */
    @Benchmark
    public long ours() {
        int i = step();
        wheel.cancel(tasks[i]);
        tasks[i] = new Task();
        wheel.set(tasks[i], now + ahead[i & 0xFFFF]);
        wheel.expire(now, 32);
        return wheel.nextAdvanceMicros();
    }

    /** A library's timer wheel, with a map from its numbers to the tasks. */
    @Benchmark
    public long agronasWheelWithAMap() {
        int i = step();
        agrona.cancelTimer(numbers[i]);
        byNumber.remove(numbers[i]);
        tasks[i] = new Task();
        numbers[i] = agrona.scheduleTimer(now + ahead[i & 0xFFFF]);
        byNumber.put(numbers[i], tasks[i]);
        agrona.poll(
                now,
                (unit, time, number) -> {
                    byNumber.remove(number).onExpiry();
                    return true;
                },
                32);
        return agrona.currentTickTime();
    }

    /** Removal from a plain heap is a search; Netty's heap knows its places, see its ScheduledFutureTask. */
    @Benchmark
    public long heapWithCancelledLeftIn() {
        int i = step();
        tasks[i] = new Task();
        tasks[i].deadline = now + ahead[i & 0xFFFF];
        heap.add(tasks[i]);
        while (heap.size() > 2 * size || heap.peek().deadline <= now) {
            heap.poll();
        }
        return heap.peek().deadline;
    }
}

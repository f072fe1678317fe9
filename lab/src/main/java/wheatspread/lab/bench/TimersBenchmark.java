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
 * Measures the timers of requests. A request arrives while {@code size} others are in progress: its deadline timer is
 * set, time advances by 0.1 ms, and the timer of another request is cancelled, because most requests are answered long
 * before their deadline.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class TimersBenchmark {
    private static final long STEP_MICROS = 100;
    private static final long TICK_MICROS = 1_024;

    @Param({"1000", "10000", "100000"})
    private int size;

    private final Random random = new Random(1);
    private long[] delaysMicros;
    private int position;
    private long nowMicros;
    private TimerWheel wheel;
    private Task[] tasks;
    private DeadlineTimerWheel agrona;
    private Long2ObjectHashMap<Task> tasksByNumber;
    private long[] numbers;
    private PriorityQueue<Task> heap;
    private long expirations;

    private final class Task extends TimerWheel.Timer implements Comparable<Task> {
        private long deadlineMicros;

        @Override
        protected void onExpiry() {
            expirations++;
        }

        @Override
        public int compareTo(Task other) {
            return Long.compare(deadlineMicros, other.deadlineMicros);
        }
    }

    /** Fills the three structures with the same timers. */
    @Setup
    public void fill() {
        nowMicros = 1_000_000;
        wheel = new TimerWheel(nowMicros);
        agrona = new DeadlineTimerWheel(TimeUnit.MICROSECONDS, nowMicros, TICK_MICROS, 4_096, 32);
        tasksByNumber = new Long2ObjectHashMap<>(size * 2, 0.65f);
        heap = new PriorityQueue<>(size);
        tasks = new Task[size];
        numbers = new long[size];
        delaysMicros = new long[1 << 16];
        for (int i = 0; i < delaysMicros.length; i++) {
            delaysMicros[i] = 7_000_000 + random.nextInt(7_000_000);
        }
        for (int i = 0; i < size; i++) {
            tasks[i] = new Task();
            tasks[i].deadlineMicros = nowMicros + delaysMicros[i & 0xFFFF];
            wheel.set(tasks[i], tasks[i].deadlineMicros);
            numbers[i] = agrona.scheduleTimer(tasks[i].deadlineMicros);
            tasksByNumber.put(numbers[i], tasks[i]);
            heap.add(tasks[i]);
        }
    }

    private int step() {
        nowMicros += STEP_MICROS;
        position = position + 1 == size ? 0 : position + 1;
        return position;
    }

    /** Measures the server's timer wheel. */
    @Benchmark
    public long ours() {
        int i = step();
        wheel.cancel(tasks[i]);
        tasks[i] = new Task();
        wheel.set(tasks[i], nowMicros + delaysMicros[i & 0xFFFF]);
        wheel.expire(nowMicros, 32);
        return wheel.nextAdvanceMicros();
    }

    /** Measures Agrona's timer wheel with a map from timer numbers to tasks. */
    @Benchmark
    public long agronasWheelWithAMap() {
        int i = step();
        agrona.cancelTimer(numbers[i]);
        tasksByNumber.remove(numbers[i]);
        tasks[i] = new Task();
        numbers[i] = agrona.scheduleTimer(nowMicros + delaysMicros[i & 0xFFFF]);
        tasksByNumber.put(numbers[i], tasks[i]);
        agrona.poll(
                nowMicros,
                (unit, time, number) -> {
                    tasksByNumber.remove(number).onExpiry();
                    return true;
                },
                32);
        return agrona.currentTickTime();
    }

    /**
     * Measures a heap in which cancelled timers stay, because removal from a plain heap needs a search. Netty's heap
     * stores each task's position in the task, see its ScheduledFutureTask.
     */
    @Benchmark
    public long heapWithCancelledLeftIn() {
        int i = step();
        tasks[i] = new Task();
        tasks[i].deadlineMicros = nowMicros + delaysMicros[i & 0xFFFF];
        heap.add(tasks[i]);
        while (heap.size() > 2 * size || heap.peek().deadlineMicros <= nowMicros) {
            heap.poll();
        }
        return heap.peek().deadlineMicros;
    }
}

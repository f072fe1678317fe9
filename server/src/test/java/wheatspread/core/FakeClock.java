package wheatspread.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executor;

/**
 * A clock whose time changes only when a test advances it. Its timers run on the thread that advances it, in the
 * order of their deadlines; timers with the same deadline run in the order in which they were set.
 */
public final class FakeClock implements Clock {
    private final Executor afterTurn;
    private final TreeMap<Long, Map<Integer, Runnable>> tasksByDeadline = new TreeMap<>();
    private volatile long nowMicros;
    private int lastNumber;

    /**
     * Creates a clock set to the given time.
     *
     * @param nowMicros the initial time in Unix microseconds
     * @param afterTurn executes the tasks that run after the event-loop iteration
     */
    public FakeClock(long nowMicros, Executor afterTurn) {
        this.nowMicros = nowMicros;
        this.afterTurn = afterTurn;
    }

    @Override
    public long nowMicros() {
        return nowMicros;
    }

    @Override
    public Timer schedule(long delayMicros, Runnable task) {
        long deadlineMicros = nowMicros + delayMicros;
        int number = ++lastNumber;
        tasksByDeadline
                .computeIfAbsent(deadlineMicros, deadline -> new TreeMap<>())
                .put(number, task);
        return () -> cancel(deadlineMicros, number);
    }

    private void cancel(long deadlineMicros, int number) {
        tasksByDeadline.computeIfPresent(deadlineMicros, (deadline, tasks) -> {
            tasks.remove(number);
            return tasks.isEmpty() ? null : tasks;
        });
    }

    @Override
    public void runAfterTurn(Runnable task) {
        afterTurn.execute(task);
    }

    /** Returns the number of timers that are set. */
    public int pendingCount() {
        return tasksByDeadline.values().stream().mapToInt(Map::size).sum();
    }

    /** Advances and runs all timers that expire; {@code between} runs after the timers of each deadline. */
    public void advance(long micros, Runnable between) {
        long untilMicros = nowMicros + micros;
        while (fireNext(untilMicros)) {
            between.run();
        }
    }

    /** Advances and runs all timers that expire. */
    public void advance(long micros) {
        advance(micros, () -> {});
    }

    /**
     * Advances to the first deadline up to {@code untilMicros} and runs its timers. If there is no such deadline,
     * advances to {@code untilMicros} and returns false.
     */
    public boolean fireNext(long untilMicros) {
        Map.Entry<Long, Map<Integer, Runnable>> next = tasksByDeadline.firstEntry();
        if (next == null || next.getKey() > untilMicros) {
            nowMicros = untilMicros;
            return false;
        }
        tasksByDeadline.remove(next.getKey());
        nowMicros = next.getKey();
        next.getValue().values().forEach(Runnable::run);
        return true;
    }

    /** Advances without running any timer. */
    public void advanceWithoutFiring(long micros) {
        nowMicros += micros;
    }

    /** Runs every timer that is set, whatever its deadline, without advancing the clock. */
    public void fireAll() {
        List<Runnable> tasks = new ArrayList<>();
        tasksByDeadline.values().forEach(sameDeadline -> tasks.addAll(sameDeadline.values()));
        tasksByDeadline.clear();
        tasks.forEach(Runnable::run);
    }
}

package wheatspread.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executor;

/**
 * A clock that stands still until a test advances it. Its timers run on the thread that advances it, in the order of
 * their deadlines, and those with the same deadline in the order in which they were set.
 */
public final class FakeClock implements Clock {
    private final Executor afterTurn;
    private final TreeMap<Long, Map<Integer, Runnable>> tasksByDeadline = new TreeMap<>();
    private volatile long nowMicros;
    private int lastNumber;

    /**
     * Makes a clock that stands at the given time.
     *
     * @param nowMicros in Unix microseconds
     * @param afterTurn takes the tasks that run after the event-loop turn
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

    /** How many timers are set. */
    public int pendingCount() {
        return tasksByDeadline.values().stream().mapToInt(Map::size).sum();
    }

    /** Advances and runs all timers that expire on the way; {@code between} runs after those of one deadline. */
    public void advance(long micros, Runnable between) {
        long untilMicros = nowMicros + micros;
        while (fireNext(untilMicros)) {
            between.run();
        }
    }

    /** Advances and runs all timers that expire on the way. */
    public void advance(long micros) {
        advance(micros, () -> {});
    }

    /**
     * Advances to the first deadline up to {@code untilMicros} and runs its timers; returns false if there is none,
     * and advances to {@code untilMicros} then.
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

    /** Runs every timer that is set, whatever its deadline; the clock does not advance. */
    public void fireAll() {
        List<Runnable> tasks = new ArrayList<>();
        tasksByDeadline.values().forEach(sameDeadline -> tasks.addAll(sameDeadline.values()));
        tasksByDeadline.clear();
        tasks.forEach(Runnable::run);
    }
}

package wheatspread.lab.model;

import java.util.PriorityQueue;

/** A simulated clock with a queue of events, which run in the order of their times without waiting. */
public final class VirtualTime {
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowMicros;
    private long serial;
    private long executedTasks;

    private record Event(long timeMicros, long serial, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return timeMicros != other.timeMicros
                    ? Long.compare(timeMicros, other.timeMicros)
                    : Long.compare(serial, other.serial);
        }
    }

    /** A start time other than 0 is advisable, because 0 hides mistakes in the handling of absent times. */
    public VirtualTime(long startMicros) {
        nowMicros = startMicros;
    }

    public long nowMicros() {
        return nowMicros;
    }

    /** Schedules a task; one whose time has passed runs after the events that are already due at the current time. */
    public void schedule(long timeMicros, Runnable task) {
        events.add(new Event(Math.max(nowMicros, timeMicros), serial++, task));
    }

    /** Runs every event due by {@code timeMicros}, including those, and advances the clock to that time. */
    public void runUntil(long timeMicros) {
        while (!events.isEmpty() && events.peek().timeMicros <= timeMicros) {
            Event next = events.poll();
            nowMicros = next.timeMicros;
            executedTasks++;
            next.task.run();
        }
        nowMicros = timeMicros;
    }

    /** Returns the number of tasks that have run so far. */
    public long executedTasks() {
        return executedTasks;
    }
}

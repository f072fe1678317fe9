package wheatspread.lab.model;

import java.util.PriorityQueue;

/** What happens when, in the order of a clock that nobody waits for. Times are microseconds. */
public final class VirtualTime {
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now;
    private long serial;
    private long carriedOut;

    private record Event(long at, long serial, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(serial, other.serial);
        }
    }

    /** Begins at that time; a clock that begins at 0 hides mistakes with times that are absent. */
    public VirtualTime(long begin) {
        now = begin;
    }

    public long now() {
        return now;
    }

    /** Carries a task out at that time, or as soon as the present one is done where that is past. */
    public void at(long time, Runnable task) {
        events.add(new Event(Math.max(now, time), serial++, task));
    }

    /** Carries out all that is due until then. */
    public void runUntil(long time) {
        while (!events.isEmpty() && events.peek().at <= time) {
            Event next = events.poll();
            now = next.at;
            carriedOut++;
            next.task.run();
        }
        now = time;
    }

    /** How many tasks were carried out so far. */
    public long carriedOut() {
        return carriedOut;
    }
}

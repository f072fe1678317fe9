package wheatspread.lab.deployments;

import java.util.Comparator;
import java.util.PriorityQueue;

/** The scheduled events of a run, by time; events at the same time run in the order in which they were added. */
final class EventQueue {
    private record Event(long micros, long sequence, Runnable task) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::micros).thenComparingLong(Event::sequence));
    private long lastSequence;

    void add(long micros, Runnable task) {
        events.add(new Event(micros, ++lastSequence, task));
    }

    /** Time of the next event in microseconds; {@link Long#MAX_VALUE} if there is none. */
    long nextMicros() {
        return events.isEmpty() ? Long.MAX_VALUE : events.peek().micros();
    }

    /** Runs all events up to {@code nowMicros}, including events that these add for that time or earlier. */
    void runDue(long nowMicros) {
        while (nextMicros() <= nowMicros) {
            events.poll().task().run();
        }
    }
}

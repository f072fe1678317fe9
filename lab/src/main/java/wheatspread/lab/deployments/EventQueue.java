package wheatspread.lab.deployments;

import java.util.Comparator;
import java.util.PriorityQueue;

/** What happens in a run by its time; events of one time happen in the order in which they were added. */
final class EventQueue {
    private record Event(long at, long number, Runnable task) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private long numbers;

    void add(long at, Runnable task) {
        events.add(new Event(at, ++numbers, task));
    }

    /** When the next event is due; {@link Long#MAX_VALUE} if there is none. */
    long next() {
        return events.isEmpty() ? Long.MAX_VALUE : events.peek().at();
    }

    /** Runs all that is due, and what it adds for no later time. */
    void runDue(long now) {
        while (next() <= now) {
            events.poll().task().run();
        }
    }
}

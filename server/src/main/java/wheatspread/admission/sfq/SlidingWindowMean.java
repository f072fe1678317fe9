package wheatspread.admission.sfq;

import java.util.ArrayDeque;
import java.util.Deque;

/** The mean of a count over a sliding window of time; before the first recorded value the count is 0. */
final class SlidingWindowMean {
    /** A time from which the count had a value. */
    private record Change(long atMicros, int value) {}

    private final long windowMicros;
    /** The changes within the window, and the last one before it, whose value applies at the window's start. */
    private final Deque<Change> changes = new ArrayDeque<>();
    /** The integral of the count over time, from the first to the last of the changes. */
    private long integral;

    SlidingWindowMean(long windowMicros) {
        this.windowMicros = windowMicros;
    }

    /** Records the count's value from {@code nowMicros} on; times must not decrease. */
    void record(long nowMicros, int value) {
        if (!changes.isEmpty()) {
            if (changes.getLast().value() == value) {
                return;
            }
            integral += integralOf(changes.getLast(), nowMicros);
            dropUntil(nowMicros - windowMicros);
        }
        changes.addLast(new Change(nowMicros, value));
    }

    /** Returns the mean over the window that ends at {@code nowMicros}. */
    double mean(long nowMicros) {
        if (changes.isEmpty()) {
            return 0;
        }
        long startMicros = nowMicros - windowMicros;
        dropUntil(startMicros);
        long beforeWindow = integralOf(
                changes.getFirst(), Math.max(startMicros, changes.getFirst().atMicros()));
        long afterLastChange = integralOf(changes.getLast(), nowMicros);
        return (double) (integral - beforeWindow + afterLastChange) / windowMicros;
    }

    /** Drops the changes before the last one that applies at {@code startMicros}. */
    private void dropUntil(long startMicros) {
        Change first = changes.removeFirst();
        while (!changes.isEmpty() && changes.getFirst().atMicros() <= startMicros) {
            integral -= integralOf(first, changes.getFirst().atMicros());
            first = changes.removeFirst();
        }
        changes.addFirst(first);
    }

    private static long integralOf(Change change, long untilMicros) {
        return change.value() * (untilMicros - change.atMicros());
    }
}

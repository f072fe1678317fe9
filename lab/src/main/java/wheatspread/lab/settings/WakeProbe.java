package wheatspread.lab.settings;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;

/**
 * Measures how late a thread of the measuring process wakes. The machine adds this delay to every measured time when
 * other work competes for its cores.
 */
final class WakeProbe implements AutoCloseable {
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final Histogram lateness = new Histogram(1, TimeUnit.MINUTES.toMicros(1), 3);
    private volatile boolean closed;

    WakeProbe() {
        Thread thread = new Thread(this::run, "wake probe");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        while (!closed) {
            long dueNanos = System.nanoTime() + INTERVAL_NANOS;
            LockSupport.parkNanos(INTERVAL_NANOS);
            record((System.nanoTime() - dueNanos) / 1_000);
        }
    }

    private synchronized void record(long micros) {
        lateness.recordValue(Math.max(1, micros));
    }

    /** Returns a quantile of the lateness, in milliseconds. */
    synchronized double millis(double percent) {
        return lateness.getValueAtPercentile(percent) / 1e3;
    }

    @Override
    public void close() {
        closed = true;
    }
}

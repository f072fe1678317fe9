package wheatspread.lab.settings;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;

/**
 * Measures how late a thread of the measuring process wakes: what the machine adds to every measured time by itself,
 * when other work competes for its cores.
 */
final class WakeProbe implements AutoCloseable {
    private static final long EVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final Histogram late = new Histogram(1, TimeUnit.MINUTES.toMicros(1), 3);
    private volatile boolean closed;

    WakeProbe() {
        Thread thread = new Thread(this::run, "wake probe");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        while (!closed) {
            long due = System.nanoTime() + EVERY_NANOS;
            LockSupport.parkNanos(EVERY_NANOS);
            record((System.nanoTime() - due) / 1_000);
        }
    }

    private synchronized void record(long micros) {
        late.recordValue(Math.max(1, micros));
    }

    /** A quantile of the lateness, in milliseconds. */
    synchronized double millis(double percent) {
        return late.getValueAtPercentile(percent) / 1e3;
    }

    @Override
    public void close() {
        closed = true;
    }
}

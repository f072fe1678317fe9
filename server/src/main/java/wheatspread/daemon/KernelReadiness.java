package wheatspread.daemon;

import java.net.InetSocketAddress;
import wheatspread.core.Clock;
import wheatspread.lifecycle.Lifecycle;
import wheatspread.lifecycle.Lifecycle.Phase;
import wheatspread.logging.EventLog;

/**
 * Monitors the kernel in the phase {@code AWAITING_KERNEL}: logs every {@link #LOG_INTERVAL_MICROS} that the kernel is
 * not ready, and reports a timeout if the operator sets one. All calls are made on the event loop's thread.
 */
final class KernelReadiness {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long LOG_INTERVAL_MICROS = 10_000_000;

    private final Clock clock;
    private final long timeoutMicros;
    private final InetSocketAddress address;
    private final Lifecycle lifecycle;
    private final Runnable timedOut;
    private final EventLog log;
    private final long startedAtMicros;

    /** Starts the wait. {@code timedOut} runs after {@code timeoutMicros}, or never if {@code timeoutMicros} is 0. */
    KernelReadiness(
            Clock clock,
            long timeoutMicros,
            InetSocketAddress address,
            Lifecycle lifecycle,
            Runnable timedOut,
            EventLog log) {
        this.clock = clock;
        this.timeoutMicros = timeoutMicros;
        this.address = address;
        this.lifecycle = lifecycle;
        this.timedOut = timedOut;
        this.log = log;
        startedAtMicros = clock.nowMicros();
    }

    /** Schedules a check after the log interval, or at the timeout if that is earlier. */
    void scheduleCheck() {
        long remainingMicros =
                timeoutMicros > 0 ? startedAtMicros + timeoutMicros - clock.nowMicros() : LOG_INTERVAL_MICROS;
        clock.schedule(Math.min(remainingMicros, LOG_INTERVAL_MICROS), this::check);
    }

    private void check() {
        if (lifecycle.phase() != Phase.AWAITING_KERNEL) {
            return;
        }
        long waitedMicros = clock.nowMicros() - startedAtMicros;
        log.warn("kernel_late", "waited_ms", waitedMicros / MICROS_PER_MILLI, "address", address);
        if (timeoutMicros > 0 && waitedMicros >= timeoutMicros) {
            timedOut.run();
        } else {
            scheduleCheck();
        }
    }
}

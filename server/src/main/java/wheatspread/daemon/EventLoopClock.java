package wheatspread.daemon;

import java.time.Instant;
import wheatspread.core.Clock;
import wheatspread.timers.TimerWheel;
import wheatspread.transport.EventLoopScheduler;

/**
 * The system's Unix clock, combined with the timers and tasks of one event loop. Any thread may read the time. Timers
 * and tasks are scheduled on the event loop's thread, and run on it.
 */
public final class EventLoopClock implements Clock {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final int NANOS_PER_MICRO = 1_000;

    private final EventLoopScheduler scheduler;

    /** Creates the clock of the event loop that {@code scheduler} runs. */
    public EventLoopClock(EventLoopScheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Returns the system's Unix time in microseconds. */
    public static long unixMicros() {
        Instant now = Instant.now();
        return now.getEpochSecond() * MICROS_PER_SECOND + now.getNano() / NANOS_PER_MICRO;
    }

    @Override
    public long nowMicros() {
        return unixMicros();
    }

    @Override
    public Timer schedule(long delayMicros, Runnable task) {
        WheelTimer timer = new WheelTimer(task);
        scheduler.timerWheel().set(timer, EventLoopScheduler.monotonicMicros() + delayMicros);
        return timer;
    }

    @Override
    public void runAfterTurn(Runnable task) {
        scheduler.runInIteration(task);
    }

    /** A timer in the scheduler's timer wheel. */
    private final class WheelTimer extends TimerWheel.Timer implements Timer {
        private final Runnable task;

        WheelTimer(Runnable task) {
            this.task = task;
        }

        @Override
        protected void onExpiry() {
            scheduler.runSafely(task);
        }

        @Override
        public void cancel() {
            scheduler.timerWheel().cancel(this);
        }
    }
}

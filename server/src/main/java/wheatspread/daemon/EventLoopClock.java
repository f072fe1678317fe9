package wheatspread.daemon;

import java.time.Instant;
import wheatspread.core.Clock;
import wheatspread.timers.TimerWheel;
import wheatspread.transport.EventLoopScheduler;

/** The system's Unix clock, with the timers and turns of the one event loop. */
public final class EventLoopClock implements Clock {
    private final EventLoopScheduler turns;

    public EventLoopClock(EventLoopScheduler turns) {
        this.turns = turns;
    }

    /** The system's Unix clock, in microseconds. */
    public static long unixMicros() {
        Instant now = Instant.now();
        return now.getEpochSecond() * 1_000_000 + now.getNano() / 1000;
    }

    @Override
    public long nowMicros() {
        return unixMicros();
    }

    @Override
    public Timer after(long micros, Runnable task) {
        Bell bell = new Bell(task);
        turns.wheel().set(bell, EventLoopScheduler.micros() + micros);
        return bell;
    }

    @Override
    public void soon(Runnable task) {
        turns.soon(task);
    }

    /** A timer of the wheel. */
    private final class Bell extends TimerWheel.Timer implements Timer {
        private final Runnable task;

        Bell(Runnable task) {
            this.task = task;
        }

        @Override
        protected void ring() {
            turns.run(task);
        }

        @Override
        public void cancel() {
            turns.wheel().cancel(this);
        }
    }
}

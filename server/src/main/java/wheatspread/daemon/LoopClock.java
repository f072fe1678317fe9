package wheatspread.daemon;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import wheatspread.core.Clock;

/** The system's Unix clock, with the timers of the one event loop. */
public final class LoopClock implements Clock {
    private final EventLoop loop;

    public LoopClock(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public long now() {
        Instant now = Instant.now();
        return now.getEpochSecond() * 1_000_000 + now.getNano() / 1000;
    }

    @Override
    public Timer after(long micros, Runnable task) {
        ScheduledFuture<?> future = loop.schedule(task, micros, TimeUnit.MICROSECONDS);
        return () -> future.cancel(false);
    }

    @Override
    public void soon(Runnable task) {
        loop.execute(task);
    }
}

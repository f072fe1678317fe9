package wheatspread.lab.deployments;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import wheatspread.core.Clock;

/** A server's clock that stands until a run moves it on; its timers fire on the loop, in their order. */
final class SteppedClock implements Clock {
    private final EventLoop loop;
    private final TreeMap<Long, Map<Integer, Runnable>> timers = new TreeMap<>();
    private volatile long now;
    private int set;

    SteppedClock(EventLoop loop, long start) {
        this.loop = loop;
        now = start;
    }

    @Override
    public long nowMicros() {
        return now;
    }

    @Override
    public Timer schedule(long micros, Runnable task) {
        long at = now + Math.max(0, micros);
        int number = ++set;
        timers.computeIfAbsent(at, t -> new TreeMap<>()).put(number, task);
        return () -> timers.getOrDefault(at, new TreeMap<>()).remove(number);
    }

    @Override
    public void runAfterTurn(Runnable task) {
        loop.execute(task);
    }

    /** When the next timer is due; {@link Long#MAX_VALUE} where none is set. */
    long next() {
        return onLoop(() -> timers.isEmpty() ? Long.MAX_VALUE : timers.firstKey());
    }

    /** Moves on to this time and fires what is due. */
    void to(long at) {
        onLoop(() -> {
            now = Math.max(now, at);
            while (!timers.isEmpty() && timers.firstKey() <= now) {
                timers.pollFirstEntry().getValue().values().forEach(Runnable::run);
            }
            return null;
        });
    }

    /** Waits until the loop has done what it had to. */
    void idle() {
        onLoop(() -> null);
    }

    private <T> T onLoop(Callable<T> task) {
        return loop.submit(task).syncUninterruptibly().getNow();
    }
}

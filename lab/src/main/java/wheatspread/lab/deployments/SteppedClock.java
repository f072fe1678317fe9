package wheatspread.lab.deployments;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import wheatspread.core.Clock;

/**
 * A server's clock that only a run advances. Timers fire on the event loop's thread, by time and then in the order in
 * which they were set.
 */
final class SteppedClock implements Clock {
    private final EventLoop loop;
    private final TreeMap<Long, Map<Integer, Runnable>> timers = new TreeMap<>();
    private volatile long nowMicros;
    private int lastNumber;

    SteppedClock(EventLoop loop, long startMicros) {
        this.loop = loop;
        nowMicros = startMicros;
    }

    @Override
    public long nowMicros() {
        return nowMicros;
    }

    @Override
    public Timer schedule(long micros, Runnable task) {
        long dueMicros = nowMicros + Math.max(0, micros);
        int number = ++lastNumber;
        timers.computeIfAbsent(dueMicros, time -> new TreeMap<>()).put(number, task);
        return () -> timers.getOrDefault(dueMicros, new TreeMap<>()).remove(number);
    }

    @Override
    public void runAfterTurn(Runnable task) {
        loop.execute(task);
    }

    /** Time of the next timer in microseconds; {@link Long#MAX_VALUE} if none is set. */
    long nextMicros() {
        return onLoop(() -> timers.isEmpty() ? Long.MAX_VALUE : timers.firstKey());
    }

    /** Advances the clock to {@code timeMicros} and fires the timers that are due; waits until they have run. */
    void advanceTo(long timeMicros) {
        onLoop(() -> {
            nowMicros = Math.max(nowMicros, timeMicros);
            while (!timers.isEmpty() && timers.firstKey() <= nowMicros) {
                timers.pollFirstEntry().getValue().values().forEach(Runnable::run);
            }
            return null;
        });
    }

    /** Waits until the event loop has run all tasks submitted so far. */
    void awaitLoop() {
        onLoop(() -> null);
    }

    private <T> T onLoop(Callable<T> task) {
        return loop.submit(task).syncUninterruptibly().getNow();
    }
}

package wheatspread.daemon;

import io.netty.channel.EventLoop;
import java.util.concurrent.Callable;
import wheatspread.core.Clock;
import wheatspread.core.FakeClock;

/** A clock that only a test advances. Its timers run on the event loop, in the order of their deadlines. */
final class ManualClock implements Clock {
    /** The Unix time at the start of every test. */
    static final long START_MICROS = 1_700_000_000_000_000L;

    private static final int SETTLE_ROUNDS = 4;

    private final EventLoop loop;
    private final FakeClock clock;
    private Runnable roundTrip = () -> {};

    ManualClock(EventLoop loop) {
        this.loop = loop;
        clock = new FakeClock(START_MICROS, loop);
    }

    @Override
    public long nowMicros() {
        return clock.nowMicros();
    }

    @Override
    public Timer schedule(long delayMicros, Runnable task) {
        return clock.schedule(delayMicros, task);
    }

    @Override
    public void runAfterTurn(Runnable task) {
        clock.runAfterTurn(task);
    }

    /** Advances the clock; the effects of each timer are complete before the next timer runs. */
    void advance(long micros) {
        long untilMicros = nowMicros() + micros;
        settle();
        while (loop.submit(() -> clock.fireNext(untilMicros))
                .syncUninterruptibly()
                .getNow()) {
            settle();
        }
    }

    /**
     * Advances the clock while the event loop is blocked. {@code input} runs after the loop has last polled its sockets
     * and before the timers run, so that the input and the effects of the timers always cross in the same order.
     */
    void advanceWithConcurrentInput(long micros, Callable<?> input) {
        long untilMicros = nowMicros() + micros;
        settle();
        loop.submit(() -> {
                    input.call();
                    boolean timersRemain = true;
                    while (timersRemain) {
                        timersRemain = clock.fireNext(untilMicros);
                    }
                    return null;
                })
                .syncUninterruptibly();
        settle();
    }

    /**
     * Waits until the server has read all earlier input and run the tasks that follow from it (a batch, then a
     * connection, then its rejection). The loopback interface delivers the round trip after all earlier input; without
     * the round trip, results differed on a machine short of processor time.
     */
    private void settle() {
        for (int round = 0; round < SETTLE_ROUNDS; round++) {
            roundTrip.run();
            loop.submit(() -> {}).syncUninterruptibly();
        }
    }

    /** Sets a task that sends a request to the server over a socket and returns after it is answered. */
    void setRoundTrip(Runnable roundTrip) {
        this.roundTrip = roundTrip;
    }
}

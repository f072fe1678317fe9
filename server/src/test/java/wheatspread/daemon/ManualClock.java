package wheatspread.daemon;

import io.netty.channel.EventLoop;
import java.util.concurrent.Callable;
import wheatspread.core.Clock;
import wheatspread.core.FakeClock;

/** A clock that moves only when a test says so; its timers fire on the loop, in the order of their times. */
final class ManualClock implements Clock {
    /** Unix microseconds at the start of every test. */
    static final long START = 1_700_000_000_000_000L;

    private static final int SETTLE_ROUNDS = 4;

    private final EventLoop loop;
    private final FakeClock clock;
    private Runnable roundTrip = () -> {};

    ManualClock(EventLoop loop) {
        this.loop = loop;
        clock = new FakeClock(START, loop);
    }

    @Override
    public long nowMicros() {
        return clock.nowMicros();
    }

    @Override
    public Timer schedule(long micros, Runnable task) {
        return clock.schedule(micros, task);
    }

    @Override
    public void runAfterTurn(Runnable task) {
        clock.runAfterTurn(task);
    }

    /** Moves on; what a timer brings about is through before the next timer. */
    void advance(long micros) {
        long until = nowMicros() + micros;
        settle();
        while (loop.submit(() -> clock.fireNext(until)).syncUninterruptibly().getNow()) {
            settle();
        }
    }

    /**
     * Moves on with the loop held: {@code between} happens after the loop last looked at its sockets and
     * before the timers of that time fire, so it crosses what they do, every time.
     */
    void cross(long micros, Callable<?> between) {
        long until = nowMicros() + micros;
        settle();
        loop.submit(() -> {
                    between.call();
                    boolean more = true;
                    while (more) {
                        more = clock.fireNext(until);
                    }
                    return null;
                })
                .syncUninterruptibly();
        settle();
    }

    /**
     * What was written before is read, and the tasks that follow (a batch, then a connection, then its
     * refusal) are run. The round trip stands behind all that in the order of the loopback; without it a
     * starved machine gave other verdicts.
     */
    private void settle() {
        for (int round = 0; round < SETTLE_ROUNDS; round++) {
            roundTrip.run();
            loop.submit(() -> {}).syncUninterruptibly();
        }
    }

    /** Sets a question over a socket to the program that returns once it is answered. */
    void settleWith(Runnable question) {
        roundTrip = question;
    }
}

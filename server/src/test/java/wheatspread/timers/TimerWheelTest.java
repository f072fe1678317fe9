package wheatspread.timers;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests the order and times of expiry against a linear search, and the limit on the timers called at once. */
class TimerWheelTest {
    private static final long TICK_MICROS = 1_024;
    /** Upper bounds of random delays: within a slot, across slots, across levels, and beyond the farthest slot. */
    private static final long[] MAX_DELAYS_MICROS = {500, 30_000, 400_000, 20_000_000, 1_500_000_000, 200_000_000_000L};

    private final List<TestTimer> expired = new ArrayList<>();
    private long nowMicros = 5_000_000_123L;
    private final TimerWheel wheel = new TimerWheel(nowMicros);

    private class TestTimer extends TimerWheel.Timer {
        private long deadlineMicros;

        @Override
        protected void onExpiry() {
            expired.add(this);
        }
    }

    private TestTimer set(long delayMicros) {
        TestTimer timer = new TestTimer();
        move(timer, nowMicros + delayMicros);
        return timer;
    }

    private void move(TestTimer timer, long deadlineMicros) {
        timer.deadlineMicros = deadlineMicros;
        wheel.set(timer, deadlineMicros);
    }

    /** Guards against timers that expire early, late, twice or not at all. */
    @Property(tries = 200, seed = "7")
    void expiresTheSameTimersAsALinearSearch(@ForAll long seed) {
        new TimerWheelTest().compareWithLinearSearch(new Random(seed)); // a new wheel for each seed
    }

    private void compareWithLinearSearch(Random random) {
        List<TestTimer> set = new ArrayList<>();
        for (int step = 0; step < 300; step++) {
            long maxDelayMicros = MAX_DELAYS_MICROS[random.nextInt(MAX_DELAYS_MICROS.length)];
            switch (random.nextInt(6)) {
                case 0, 1, 2 -> set.add(set(random.nextLong(maxDelayMicros)));
                case 3 -> {
                    if (!set.isEmpty()) {
                        move(set.get(random.nextInt(set.size())), nowMicros + random.nextLong(maxDelayMicros));
                    }
                }
                case 4 -> {
                    if (!set.isEmpty()) {
                        TestTimer cancelled = set.remove(random.nextInt(set.size()));
                        wheel.cancel(cancelled);
                        assertThat(cancelled.isSet()).isFalse();
                    }
                }
                default -> {
                    long earliestMicros = set.stream()
                            .mapToLong(timer -> timer.deadlineMicros)
                            .min()
                            .orElse(Long.MAX_VALUE);
                    boolean noTimerSet = earliestMicros == Long.MAX_VALUE;
                    assertThat(wheel.nextAdvanceMicros())
                            .as("not later than the first timer expires")
                            .isLessThanOrEqualTo(noTimerSet ? earliestMicros : earliestMicros + TICK_MICROS);
                    nowMicros += random.nextLong(maxDelayMicros);
                    wheel.expire(nowMicros, Integer.MAX_VALUE);
                    for (TestTimer timer : expired) {
                        assertThat(set.remove(timer))
                                .as("expires once, and only if set")
                                .isTrue();
                        assertThat(timer.deadlineMicros).isLessThanOrEqualTo(nowMicros);
                    }
                    expired.clear();
                    assertThat(set).allMatch(timer -> timer.deadlineMicros > nowMicros - TICK_MICROS);
                }
            }
            assertThat(wheel.size()).isEqualTo(set.size());
        }
    }

    @Test
    void callsTimersBeyondTheLimitInLaterCallsInOrder() {
        List<TestTimer> timers = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            timers.add(set(2_000 + i * 2_000));
        }
        nowMicros += 3_000_000;
        assertThat(wheel.expire(nowMicros, 300)).isEqualTo(300);
        assertThat(wheel.hasExpiredTimers()).isTrue();
        assertThat(wheel.nextAdvanceMicros()).isLessThanOrEqualTo(nowMicros);
        assertThat(wheel.expire(nowMicros, 300)).isEqualTo(300);
        assertThat(wheel.expire(nowMicros, 1_000)).isEqualTo(400);
        assertThat(wheel.hasExpiredTimers()).isFalse();
        assertThat(expired).isEqualTo(timers);
    }

    /** Guards against placing a timer again on every extension, as with a connection's idle deadline. */
    @Test
    void placesAnExtendedTimerAgainOnlyAtItsOldDeadline() {
        TestTimer timer = set(10_000);
        long oldAdvanceMicros = wheel.nextAdvanceMicros();
        for (int i = 0; i < 100; i++) {
            nowMicros += 9_000;
            move(timer, nowMicros + 10_000_000);
        }
        assertThat(wheel.nextAdvanceMicros())
                .as("the timer is still in its old slot")
                .isEqualTo(oldAdvanceMicros);
        assertThat(wheel.expire(nowMicros, 10)).isZero();
        assertThat(wheel.nextAdvanceMicros()).isGreaterThan(nowMicros);
        nowMicros += 10_000_000 + TICK_MICROS;
        assertThat(wheel.expire(nowMicros, 10)).isOne();
    }

    @Test
    void callsAtMostTheLimitIfATimerSetsItselfAgain() {
        TestTimer repeating = new TestTimer() {
            @Override
            protected void onExpiry() {
                super.onExpiry();
                wheel.set(this, nowMicros);
            }
        };
        wheel.set(repeating, nowMicros);
        assertThat(wheel.expire(nowMicros + TICK_MICROS, 50)).isEqualTo(50);
    }
}

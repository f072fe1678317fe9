package wheatspread.timers;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class TimerWheelTest {
    private static final long TICK = 1_024;
    /** Distances within a slot, over slots, levels, and beyond the farthest. */
    private static final long[] REACH = {500, 30_000, 400_000, 20_000_000, 1_500_000_000, 200_000_000_000L};

    private final List<Bell> rung = new ArrayList<>();
    private long now = 5_000_000_123L;
    private final TimerWheel wheel = new TimerWheel(now);

    private class Bell extends TimerWheel.Timer {
        private long at;

        @Override
        protected void ring() {
            rung.add(this);
        }
    }

    private Bell set(long after) {
        Bell bell = new Bell();
        move(bell, now + after);
        return bell;
    }

    private void move(Bell bell, long at) {
        bell.at = at;
        wheel.set(bell, at);
    }

    /**
     * The wheel against a list that is searched: nothing early, nothing late, nothing lost, nothing twice.
     */
    @Property(tries = 200, seed = "7")
    void agreesWithASearchedList(@ForAll long seed) {
        new TimerWheelTest().agrees(new Random(seed)); // a wheel of its own for each seed
    }

    private void agrees(Random random) {
        List<Bell> set = new ArrayList<>();
        for (int step = 0; step < 300; step++) {
            long reach = REACH[random.nextInt(REACH.length)];
            switch (random.nextInt(6)) {
                case 0, 1, 2 -> set.add(set(random.nextLong(reach)));
                case 3 -> {
                    if (!set.isEmpty()) {
                        move(set.get(random.nextInt(set.size())), now + random.nextLong(reach));
                    }
                }
                case 4 -> {
                    if (!set.isEmpty()) {
                        Bell gone = set.remove(random.nextInt(set.size()));
                        wheel.cancel(gone);
                        assertThat(gone.isSet()).isFalse();
                    }
                }
                default -> {
                    long soonest = set.stream().mapToLong(b -> b.at).min().orElse(Long.MAX_VALUE);
                    boolean none = soonest == Long.MAX_VALUE;
                    assertThat(wheel.nextLook())
                            .as("nobody sleeps over a timer")
                            .isLessThanOrEqualTo(none ? soonest : soonest + TICK);
                    now += random.nextLong(reach);
                    wheel.expire(now, Integer.MAX_VALUE);
                    for (Bell bell : rung) {
                        assertThat(set.remove(bell))
                                .as("rings once, and only if set")
                                .isTrue();
                        assertThat(bell.at).isLessThanOrEqualTo(now);
                    }
                    rung.clear();
                    assertThat(set).allMatch(b -> b.at > now - TICK);
                }
            }
            assertThat(wheel.size()).isEqualTo(set.size());
        }
    }

    @Test
    void whatIsLeftOverInATurnRingsInTheNextOneInOrder() {
        List<Bell> all = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            all.add(set(2_000 + i * 2_000));
        }
        now += 3_000_000;
        assertThat(wheel.expire(now, 300)).isEqualTo(300);
        assertThat(wheel.overdue()).isTrue();
        assertThat(wheel.nextLook()).isLessThanOrEqualTo(now);
        assertThat(wheel.expire(now, 300)).isEqualTo(300);
        assertThat(wheel.expire(now, 1_000)).isEqualTo(400);
        assertThat(wheel.overdue()).isFalse();
        assertThat(rung).isEqualTo(all);
    }

    /** A connection's limit moves with every use; it must cost nothing until the old time has come. */
    @Test
    void aTimerPushedBackIsPlacedAgainOnlyWhenItsOldTimeComes() {
        Bell bell = set(10_000);
        long look = wheel.nextLook();
        for (int i = 0; i < 100; i++) {
            now += 9_000;
            move(bell, now + 10_000_000);
        }
        assertThat(wheel.nextLook()).as("it is still in its old slot").isEqualTo(look);
        assertThat(wheel.expire(now, 10)).isZero();
        assertThat(wheel.nextLook()).isGreaterThan(now);
        now += 10_000_000 + TICK;
        assertThat(wheel.expire(now, 10)).isOne();
    }

    @Test
    void aTimerThatSetsItselfAgainDoesNotHoldTheLoop() {
        Bell endless = new Bell() {
            @Override
            protected void ring() {
                super.ring();
                wheel.set(this, now);
            }
        };
        wheel.set(endless, now);
        assertThat(wheel.expire(now + TICK, 50)).isEqualTo(50);
    }
}

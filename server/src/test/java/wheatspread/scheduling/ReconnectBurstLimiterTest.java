package wheatspread.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class ReconnectBurstLimiterTest {
    private final ReconnectBurstLimiter gate = new ReconnectBurstLimiter(64, 3);

    private int admitted(int tries, int waiting) {
        int admitted = 0;
        for (int i = 0; i < tries; i++) {
            admitted += gate.admits(waiting) ? 1 : 0;
        }
        return admitted;
    }

    @Test
    void aFewSleepersAreNoCrowd() {
        assertThat(admitted(1_000, 63)).isEqualTo(1_000);
    }

    @Test
    void ofACrowdOnlySomeAreInHandAtATimeUntilItIsOver() {
        assertThat(admitted(1_000, 500)).isEqualTo(16);
        assertThat(admitted(10, 0)).as("some are in hand still").isZero();
        for (int i = 0; i < 16; i++) {
            gate.ended(false);
        }
        assertThat(admitted(100, 0)).as("none waits and none is in hand").isEqualTo(100);
    }

    @Test
    void moreAreLetInWhileTheyAreServedAndFewerOnceAnybodyIsRefused() {
        admitted(1_000, 500);
        for (int i = 0; i < 16; i++) {
            gate.ended(true);
        }
        assertThat(gate.window()).isEqualTo(32);
        gate.refused(1_000_000);
        gate.refused(1_100_000);
        assertThat(gate.window()).as("one sign").isEqualTo(16);
        for (int i = 1; i < 100; i++) {
            gate.refused(1_000_000 + i * 300_000);
        }
        assertThat(gate.window()).as("never none").isEqualTo(4);
    }

    @Test
    void refusalsOutsideOfACrowdMeanNothing() {
        gate.refused(1);
        assertThat(admitted(100, 500)).isEqualTo(16);
    }

    @Test
    void thoseTurnedAwayComeBackAtDifferentTimes() {
        long[] times = LongStream.range(0, 1_000)
                .map(i -> gate.later(4_000_000))
                .sorted()
                .toArray();
        assertThat(times[0]).isBetween(1_000_000L, 1_100_000L);
        assertThat(times[999]).isBetween(3_900_000L, 4_000_000L);
        assertThat(times[500]).isBetween(2_300_000L, 2_700_000L);
        assertThat(gate.later(0)).as("where the settings allow no advice").isZero();
    }

    /** Whatever happens, what is in hand stays within the window, and a gate that is empty opens again. */
    @Property(tries = 200, seed = "5")
    void neverMoreInHandThanTheWindow(@ForAll long seed) {
        Random random = new Random(seed);
        ReconnectBurstLimiter one = new ReconnectBurstLimiter(10, seed);
        Deque<Integer> inHand = new ArrayDeque<>();
        for (int step = 0; step < 500; step++) {
            int window = one.window();
            if (random.nextInt(3) > 0) {
                if (one.admits(10 + random.nextInt(100))) {
                    inHand.add(step);
                    assertThat(inHand.size()).isLessThanOrEqualTo(Math.max(16, window));
                }
            } else if (!inHand.isEmpty()) {
                inHand.poll();
                one.ended(random.nextBoolean());
            } else {
                one.refused(step * 100_000L);
            }
        }
        inHand.forEach(i -> one.ended(false));
        assertThat(one.admits(100)).isTrue();
    }
}

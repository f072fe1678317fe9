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
    private final ReconnectBurstLimiter limiter = new ReconnectBurstLimiter(64, 3);

    private int admitted(int requests, int idleWaiting) {
        int admitted = 0;
        for (int i = 0; i < requests; i++) {
            admitted += limiter.tryAdmit(idleWaiting) ? 1 : 0;
        }
        return admitted;
    }

    @Test
    void fewIdleConnectionsAreNoBurst() {
        assertThat(admitted(1_000, 63)).isEqualTo(1_000);
    }

    @Test
    void burstIsLimitedToTheWindowUntilItIsOver() {
        assertThat(admitted(1_000, 500)).isEqualTo(16);
        assertThat(admitted(10, 0)).as("some are still in flight").isZero();
        for (int i = 0; i < 16; i++) {
            limiter.completed(false);
        }
        assertThat(admitted(100, 0)).as("none waits and none is in flight").isEqualTo(100);
    }

    @Test
    void windowGrowsWithServedRequestsAndHalvesAfterRejections() {
        admitted(1_000, 500);
        for (int i = 0; i < 16; i++) {
            limiter.completed(true);
        }
        assertThat(limiter.window()).isEqualTo(32);
        limiter.rejected(1_000_000);
        limiter.rejected(1_100_000);
        assertThat(limiter.window()).as("one signal").isEqualTo(16);
        for (int i = 1; i < 100; i++) {
            limiter.rejected(1_000_000 + i * 300_000);
        }
        assertThat(limiter.window()).as("never empty").isEqualTo(4);
    }

    @Test
    void rejectionsOutsideABurstChangeNothing() {
        limiter.rejected(1);
        assertThat(admitted(100, 500)).isEqualTo(16);
    }

    @Test
    void retriesAreSpreadOverTime() {
        long[] times = LongStream.range(0, 1_000)
                .map(i -> limiter.retryAfterMicros(4_000_000))
                .sorted()
                .toArray();
        assertThat(times[0]).isBetween(1_000_000L, 1_100_000L);
        assertThat(times[999]).isBetween(3_900_000L, 4_000_000L);
        assertThat(times[500]).isBetween(2_300_000L, 2_700_000L);
        assertThat(limiter.retryAfterMicros(0))
                .as("where the settings allow no advice")
                .isZero();
    }

    /** Whatever happens, the requests in flight stay within the window, and an empty limiter admits again. */
    @Property(tries = 200, seed = "5")
    void neverMoreInFlightThanTheWindow(@ForAll long seed) {
        Random random = new Random(seed);
        ReconnectBurstLimiter fuzzed = new ReconnectBurstLimiter(10, seed);
        Deque<Integer> inFlight = new ArrayDeque<>();
        for (int step = 0; step < 500; step++) {
            int window = fuzzed.window();
            if (random.nextInt(3) > 0) {
                if (fuzzed.tryAdmit(10 + random.nextInt(100))) {
                    inFlight.add(step);
                    assertThat(inFlight.size()).isLessThanOrEqualTo(Math.max(16, window));
                }
            } else if (!inFlight.isEmpty()) {
                inFlight.poll();
                fuzzed.completed(random.nextBoolean());
            } else {
                fuzzed.rejected(step * 100_000L);
            }
        }
        inFlight.forEach(i -> fuzzed.completed(false));
        assertThat(fuzzed.tryAdmit(100)).isTrue();
    }
}

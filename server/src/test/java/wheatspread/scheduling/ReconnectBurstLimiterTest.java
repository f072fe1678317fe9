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

    /** Submits requests from idle connections and returns the number admitted. */
    private int countAdmitted(int requests, int idleConnectionsWaiting) {
        int admitted = 0;
        for (int i = 0; i < requests; i++) {
            admitted += limiter.tryAdmit(idleConnectionsWaiting) ? 1 : 0;
        }
        return admitted;
    }

    @Test
    void admitsEverythingBelowTheBurstThreshold() {
        assertThat(countAdmitted(1_000, 63)).isEqualTo(1_000);
    }

    @Test
    void limitsRequestsToTheWindowUntilTheBurstEnds() {
        assertThat(countAdmitted(1_000, 500)).isEqualTo(16);
        assertThat(countAdmitted(10, 0))
                .as("the burst lasts while requests are in flight")
                .isZero();
        for (int i = 0; i < 16; i++) {
            limiter.completed(false);
        }
        assertThat(countAdmitted(100, 0))
                .as("the burst ended: no connection waits and no request is in flight")
                .isEqualTo(100);
    }

    @Test
    void windowGrowsWithServedRequestsAndHalvesAfterRejections() {
        countAdmitted(1_000, 500);
        for (int i = 0; i < 16; i++) {
            limiter.completed(true);
        }
        assertThat(limiter.window()).isEqualTo(32);
        limiter.rejected(1_000_000);
        limiter.rejected(1_100_000);
        assertThat(limiter.window())
                .as("both rejections count as one congestion signal")
                .isEqualTo(16);
        for (int i = 1; i < 100; i++) {
            limiter.rejected(1_000_000 + i * 300_000);
        }
        assertThat(limiter.window()).as("the minimum window").isEqualTo(4);
    }

    @Test
    void rejectionsOutsideABurstKeepTheInitialWindow() {
        limiter.rejected(1);
        assertThat(countAdmitted(100, 500)).isEqualTo(16);
    }

    @Test
    void spreadsRetryAfterUniformly() {
        long[] retryAfterMicros = LongStream.range(0, 1_000)
                .map(i -> limiter.retryAfterMicros(4_000_000))
                .sorted()
                .toArray();
        assertThat(retryAfterMicros[0]).isBetween(1_000_000L, 1_100_000L);
        assertThat(retryAfterMicros[999]).isBetween(3_900_000L, 4_000_000L);
        assertThat(retryAfterMicros[500]).isBetween(2_300_000L, 2_700_000L);
        assertThat(limiter.retryAfterMicros(0))
                .as("the settings allow no retry-after")
                .isZero();
    }

    /** In any order of events the requests in flight stay within the window, and an empty limiter admits again. */
    @Property(tries = 200, seed = "5")
    void requestsInFlightNeverExceedTheWindow(@ForAll long seed) {
        Random random = new Random(seed);
        ReconnectBurstLimiter fuzzedLimiter = new ReconnectBurstLimiter(10, seed);
        Deque<Integer> inFlight = new ArrayDeque<>();
        for (int step = 0; step < 500; step++) {
            int window = fuzzedLimiter.window();
            if (random.nextInt(3) > 0) {
                if (fuzzedLimiter.tryAdmit(10 + random.nextInt(100))) {
                    inFlight.add(step);
                    assertThat(inFlight.size()).isLessThanOrEqualTo(Math.max(16, window));
                }
            } else if (!inFlight.isEmpty()) {
                inFlight.poll();
                fuzzedLimiter.completed(random.nextBoolean());
            } else {
                fuzzedLimiter.rejected(step * 100_000L);
            }
        }
        inFlight.forEach(i -> fuzzedLimiter.completed(false));
        assertThat(fuzzedLimiter.tryAdmit(100)).isTrue();
    }
}

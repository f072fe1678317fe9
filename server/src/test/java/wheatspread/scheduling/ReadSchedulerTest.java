package wheatspread.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ReadSchedulerTest {
    private static final long NOW = 100_000_000;

    private final ReadScheduler order = new ReadScheduler(new IterationBudget(10_000, 20, 4_000, 5_000_000, 4, 64, 10));

    private static final class One extends PendingRead {
        private final String name;
        private final int open;
        private final long usedAt;

        One(String name, int open, long usedAt) {
            this.name = name;
            this.open = open;
            this.usedAt = usedAt;
        }

        @Override
        protected boolean hasOpenRequests() {
            return open > 0;
        }

        @Override
        protected long usedAt() {
            return usedAt;
        }

        @Override
        public String toString() {
            return name;
        }
    }

    private void add(String name, int open, long usedAgo) {
        order.add(new One(name, open, NOW - usedAgo), NOW);
    }

    private List<String> turn(int bytes, int requests, int micros) {
        List<String> read = new ArrayList<>();
        long now = NOW;
        order.begin(now);
        for (PendingRead one = order.take(now); one != null; one = order.take(now)) {
            assertThat(one.isQueued()).isFalse();
            read.add(one.toString());
            order.spent(bytes, requests);
            now += micros;
        }
        return read;
    }

    @Test
    void thoseWithOpenRequestsComeFirstThenThoseUsedLatelyThenTheSleepers() {
        add("asleep", 0, 6_000_000);
        add("lately", 0, 4_000_000);
        add("waits", 1, 60_000_000);
        add("waits too", 3, 0);
        assertThat(turn(100, 1, 10)).containsExactly("waits", "waits too", "lately", "asleep");
        assertThat(order.isEmpty()).isTrue();
    }

    @Test
    void aBusyServerReadsASleeperNowAndThen() {
        for (int i = 0; i < 8; i++) {
            add("busy" + i, 1, 0);
            add("asleep" + i, 0, 60_000_000);
        }
        assertThat(turn(100, 1, 10).subList(0, 8))
                .containsExactly("busy0", "busy1", "busy2", "asleep0", "busy3", "busy4", "busy5", "asleep1");
    }

    @Test
    void bytesRequestsAndTimeEndATurnAndTheRestStays() {
        for (int i = 0; i < 100; i++) {
            add("" + i, 0, 0);
        }
        assertThat(turn(4_000, 1, 1)).as("bytes").hasSize(3);
        assertThat(turn(1, 10, 1)).as("requests").hasSize(2);
        assertThat(turn(1, 1, 1_000)).as("time").hasSize(4);
        assertThat(turn(1, 0, 10_000)).as("one at least").hasSize(1);
        assertThat(order.exhausted()).isEqualTo(4);
        assertThat(order.size()).isEqualTo(90);
        assertThat(turn(1, 1, 1)).startsWith("10").hasSize(20);
    }

    @Test
    void whatIsQueuedIsNotQueuedTwice() {
        One one = new One("one", 0, NOW);
        order.add(one, NOW);
        order.add(one, NOW);
        assertThat(turn(1, 1, 1)).containsExactly("one");
        order.add(one, NOW);
        assertThat(order.size()).isOne();
    }

    /** Guards the proxies: a crowd that wakes at once keeps none of them out of any turn. */
    @Test
    void aBurstOfSleepersDelaysNoneOfTheBusy() {
        for (int i = 0; i < 19_000; i++) {
            add("asleep", 0, 60_000_000);
        }
        int asleep = 0;
        for (int round = 0; round < 100; round++) {
            add("proxy", 0, 1_000);
            add("proxy", 2, 1_000);
            List<String> read = turn(300, 1, 20);
            assertThat(read).startsWith("proxy", "proxy").hasSize(20);
            asleep += read.size() - 2;
        }
        assertThat(order.size()).isEqualTo(19_000 - asleep);
    }
}

package wheatspread.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ReadSchedulerTest {
    private static final long NOW = 100_000_000;

    private final ReadScheduler scheduler =
            new ReadScheduler(new IterationBudget(10_000, 20, 4_000, 5_000_000, 4, 64, 10));

    private static final class FakeConnection extends PendingRead {
        private final String name;
        private final int openRequests;
        private final long lastUsedMicros;

        FakeConnection(String name, int openRequests, long lastUsedMicros) {
            this.name = name;
            this.openRequests = openRequests;
            this.lastUsedMicros = lastUsedMicros;
        }

        @Override
        protected boolean hasOpenRequests() {
            return openRequests > 0;
        }

        @Override
        protected long lastUsedMicros() {
            return lastUsedMicros;
        }

        @Override
        public String toString() {
            return name;
        }
    }

    private void add(String name, int openRequests, long unusedMicros) {
        scheduler.add(new FakeConnection(name, openRequests, NOW - unusedMicros), NOW);
    }

    private List<String> runIteration(int bytes, int requests, int micros) {
        List<String> read = new ArrayList<>();
        long now = NOW;
        scheduler.beginIteration(now);
        for (PendingRead ready = scheduler.take(now); ready != null; ready = scheduler.take(now)) {
            assertThat(ready.isQueued()).isFalse();
            read.add(ready.toString());
            scheduler.recordRead(bytes, requests);
            now += micros;
        }
        return read;
    }

    @Test
    void readsOpenRequestsThenRecentlyUsedThenIdle() {
        add("idle", 0, 6_000_000);
        add("recent", 0, 4_000_000);
        add("awaits answer", 1, 60_000_000);
        add("awaits answers", 3, 0);
        assertThat(runIteration(100, 1, 10)).containsExactly("awaits answer", "awaits answers", "recent", "idle");
        assertThat(scheduler.isEmpty()).isTrue();
    }

    @Test
    void busyServerReadsIdleConnectionsNowAndThen() {
        for (int i = 0; i < 8; i++) {
            add("busy" + i, 1, 0);
            add("idle" + i, 0, 60_000_000);
        }
        assertThat(runIteration(100, 1, 10).subList(0, 8))
                .containsExactly("busy0", "busy1", "busy2", "idle0", "busy3", "busy4", "busy5", "idle1");
    }

    @Test
    void bytesRequestsAndTimeEndAnIterationAndTheRestStaysQueued() {
        for (int i = 0; i < 100; i++) {
            add("" + i, 0, 0);
        }
        assertThat(runIteration(4_000, 1, 1)).as("bytes").hasSize(3);
        assertThat(runIteration(1, 10, 1)).as("requests").hasSize(2);
        assertThat(runIteration(1, 1, 1_000)).as("time").hasSize(4);
        assertThat(runIteration(1, 0, 10_000)).as("at least one").hasSize(1);
        assertThat(scheduler.exhaustedIterations()).isEqualTo(4);
        assertThat(scheduler.size()).isEqualTo(90);
        assertThat(runIteration(1, 1, 1)).startsWith("10").hasSize(20);
    }

    @Test
    void queuedConnectionIsNotQueuedTwice() {
        FakeConnection connection = new FakeConnection("connection", 0, NOW);
        scheduler.add(connection, NOW);
        scheduler.add(connection, NOW);
        assertThat(runIteration(1, 1, 1)).containsExactly("connection");
        scheduler.add(connection, NOW);
        assertThat(scheduler.size()).isOne();
    }

    /** Idle connections that become active at once keep no steady caller out of any iteration. */
    @Test
    void reconnectBurstDelaysNoSteadyCaller() {
        for (int i = 0; i < 19_000; i++) {
            add("idle", 0, 60_000_000);
        }
        int idleRead = 0;
        for (int round = 0; round < 100; round++) {
            add("steady", 0, 1_000);
            add("steady", 2, 1_000);
            List<String> read = runIteration(300, 1, 20);
            assertThat(read).startsWith("steady", "steady").hasSize(20);
            idleRead += read.size() - 2;
        }
        assertThat(scheduler.size()).isEqualTo(19_000 - idleRead);
    }
}

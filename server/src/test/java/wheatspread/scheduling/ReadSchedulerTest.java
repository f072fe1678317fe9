package wheatspread.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ReadSchedulerTest {
    private static final long NOW_MICROS = 100_000_000;

    private final ReadScheduler scheduler =
            new ReadScheduler(new IterationBudget(10_000, 20, 8, 2, 4_000, 5_000_000, 4, 64, 10));

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

    private void queueConnection(String name, int openRequests, long unusedMicros) {
        scheduler.add(new FakeConnection(name, openRequests, NOW_MICROS - unusedMicros), NOW_MICROS);
    }

    /** Runs an iteration in which each read costs this much, and returns the names of the connections read. */
    private List<String> runIteration(int bytesPerRead, int requestsPerRead, int microsPerRead) {
        List<String> namesRead = new ArrayList<>();
        long nowMicros = NOW_MICROS;
        scheduler.beginIteration(nowMicros);
        for (PendingRead ready = scheduler.take(nowMicros); ready != null; ready = scheduler.take(nowMicros)) {
            assertThat(ready.isQueued()).isFalse();
            namesRead.add(ready.toString());
            scheduler.recordRead(bytesPerRead, requestsPerRead);
            nowMicros += microsPerRead;
        }
        return namesRead;
    }

    @Test
    void readsOpenRequestsThenRecentlyUsedThenIdle() {
        queueConnection("idle", 0, 6_000_000);
        queueConnection("recent", 0, 4_000_000);
        queueConnection("awaits answer", 1, 60_000_000);
        queueConnection("awaits answers", 3, 0);
        assertThat(runIteration(100, 1, 10)).containsExactly("awaits answer", "awaits answers", "recent", "idle");
        assertThat(scheduler.isEmpty()).isTrue();
    }

    @Test
    void readsOneIdleConnectionPerFourReadsUnderLoad() {
        for (int i = 0; i < 8; i++) {
            queueConnection("busy" + i, 1, 0);
            queueConnection("idle" + i, 0, 60_000_000);
        }
        assertThat(runIteration(100, 1, 10).subList(0, 8))
                .containsExactly("busy0", "busy1", "busy2", "idle0", "busy3", "busy4", "busy5", "idle1");
    }

    @Test
    void byteRequestAndTimeBudgetsEndIterationAndKeepRestQueued() {
        for (int i = 0; i < 100; i++) {
            queueConnection("" + i, 0, 0);
        }
        assertThat(runIteration(4_000, 1, 1)).as("bytes").hasSize(3);
        assertThat(runIteration(1, 10, 1)).as("requests").hasSize(2);
        assertThat(runIteration(1, 1, 1_000)).as("time").hasSize(4);
        assertThat(runIteration(1, 0, 10_000))
                .as("at least one connection per iteration")
                .hasSize(1);
        assertThat(scheduler.exhaustedIterations()).isEqualTo(4);
        assertThat(scheduler.size()).isEqualTo(90);
        assertThat(runIteration(1, 1, 1)).startsWith("10").hasSize(20);
    }

    @Test
    void doesNotQueueAQueuedConnectionAgain() {
        FakeConnection connection = new FakeConnection("connection", 0, NOW_MICROS);
        scheduler.add(connection, NOW_MICROS);
        scheduler.add(connection, NOW_MICROS);
        assertThat(runIteration(1, 1, 1)).containsExactly("connection");
        scheduler.add(connection, NOW_MICROS);
        assertThat(scheduler.size()).isOne();
    }

    /** Guards against delaying steadily active clients when 19,000 idle connections become active at once. */
    @Test
    void reconnectBurstDoesNotDelaySteadyClients() {
        for (int i = 0; i < 19_000; i++) {
            queueConnection("idle", 0, 60_000_000);
        }
        int idleConnectionsRead = 0;
        for (int round = 0; round < 100; round++) {
            queueConnection("steady", 0, 1_000);
            queueConnection("steady", 2, 1_000);
            List<String> namesRead = runIteration(300, 1, 20);
            assertThat(namesRead).startsWith("steady", "steady").hasSize(20);
            idleConnectionsRead += namesRead.size() - 2;
        }
        assertThat(scheduler.size()).isEqualTo(19_000 - idleConnectionsRead);
    }
}

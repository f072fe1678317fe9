package wheatspread.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class GossipQueueTest {
    private static GossipQueue newQueue() {
        GossipQueue queue = new GossipQueue();
        queue.reset(3); // each update is sent 8 times
        return queue;
    }

    @Test
    void eachUpdateIsSentABoundedNumberOfTimesAndTheLeastSentFirst() {
        GossipQueue queue = newQueue();
        GossipUpdate.Leaving first = new GossipUpdate.Leaving(1);
        GossipUpdate.Leaving second = new GossipUpdate.Leaving(2);
        queue.add(first);
        assertThat(queue.poll(2)).containsExactly(first);
        queue.add(second);
        assertThat(queue.poll(1)).containsExactly(second);
        List<GossipUpdate> taken = new ArrayList<>();
        while (!queue.isEmpty()) {
            taken.addAll(queue.poll(2));
        }
        assertThat(taken).hasSize(14).contains(first, second);
        assertThat(queue.poll(2)).isEmpty();
    }

    @Test
    void newerUpdateSupersedesOlderUpdateWithEqualKey() {
        GossipQueue queue = newQueue();
        queue.add(new GossipUpdate.Report(1, 2, 1));
        queue.add(new GossipUpdate.Report(1, 2, 2));
        queue.add(new GossipUpdate.Report(1, 3, 1));
        assertThat(queue.poll(16))
                .containsExactlyInAnyOrder(new GossipUpdate.Report(1, 2, 2), new GossipUpdate.Report(1, 3, 1));
    }

    /**
     * Guards against unbounded growth: new updates are sent first, so superseded updates stay queued while new ones
     * keep arriving.
     */
    @Test
    void supersededUpdatesDoNotAccumulate() {
        GossipQueue queue = newQueue();
        for (int i = 1; i <= 200_000; i++) {
            queue.add(new GossipUpdate.Suspicion(i % 10, 0, i));
            if (i % 5 == 0) {
                queue.poll(1);
            }
            assertThat(queue.queuedEntries()).isLessThan(500);
        }
    }
}

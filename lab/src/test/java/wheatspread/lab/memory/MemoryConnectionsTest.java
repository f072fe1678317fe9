package wheatspread.lab.memory;

import static org.assertj.core.api.Assertions.assertThat;

import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import wheatspread.scheduling.IterationBudget;

class MemoryConnectionsTest {
    /**
     * Covers the whole path except sockets: accepting, fair scheduling of turns, the connection gate, rejections, and
     * idle timeouts that expire together.
     */
    @Test
    void answersSimultaneousRequestsOnceEachAndClosesIdleConnections() throws Exception {
        IterationBudget noRecentUse = new IterationBudget(256 * 1024, 32, 8, 2, 1_000_000, 0, 8, 64, 32);
        try (MemoryConnections connections = new MemoryConnections(3_000, noRecentUse, 1_000_000)) {
            JSONObject figures = connections.measure();
            assertThat(figures.getInt("spoke")).isEqualTo(3_000);
            assertThat(figures.getInt("burst_answered")).isEqualTo(3_000);
            assertThat(figures.getInt("burst_served"))
                    .as("the gate admits some requests")
                    .isBetween(1, 2_999);
            assertThat(figures.getInt("expiry_left")).isZero();
            assertThat(figures.getInt("timers"))
                    .as("no timer of a connection remains")
                    .isLessThan(10);
        }
    }
}

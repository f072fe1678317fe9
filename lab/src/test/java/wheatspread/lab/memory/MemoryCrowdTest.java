package wheatspread.lab.memory;

import static org.assertj.core.api.Assertions.assertThat;

import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import wheatspread.scheduling.IterationBudget;

class MemoryCrowdTest {
    /**
     * The whole path but for the sockets: accepts, fair turns, the gate, refusals, limits that end together.
     */
    @Test
    void aCrowdThatWakesAtOnceIsAnsweredOnceEachAndGoesWhenItsTimeIsOver() throws Exception {
        IterationBudget allAsleep = new IterationBudget(256 * 1024, 32, 1_000_000, 0, 8, 64, 32);
        try (MemoryCrowd crowd = new MemoryCrowd(3_000, allAsleep, 1_000_000)) {
            JSONObject figures = crowd.play();
            assertThat(figures.getInt("spoke")).isEqualTo(3_000);
            assertThat(figures.getInt("burst_answered")).isEqualTo(3_000);
            assertThat(figures.getInt("burst_served"))
                    .as("the gate lets some in")
                    .isBetween(1, 2_999);
            assertThat(figures.getInt("expiry_left")).isZero();
            assertThat(figures.getInt("timers")).as("none of a connection").isLessThan(10);
        }
    }
}

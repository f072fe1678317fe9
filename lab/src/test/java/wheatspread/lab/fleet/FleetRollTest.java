package wheatspread.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import wheatspread.lab.fleet.FleetRoll.Action;

/** Guards against lost, late and duplicated requests during a rollout of a small fleet of real processes under load. */
class FleetRollTest {
    private static final List<String> FLAGS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx48m");

    @Test
    @Timeout(180)
    void rollsFiveOfSixServersWithoutViolations() throws Exception {
        JSONObject rolling = new JSONObject()
                .put("out_share", 0.34)
                .put("proven_answers", 3)
                .put("proven_ms", 500)
                .put("patience_ms", 2_000);
        FleetRoll fleet = new FleetRoll(Path.of("../server/target/wheatspread.jar"), FLAGS, 6, 40, rolling);
        FleetRoll.Outcome outcome = fleet.run(Action.ROLL, 0.84, 1_000, 5_000);
        assertThat(outcome.violations()).isEmpty();
        assertThat(outcome.figures().getLong("broken_promises")).isZero();
        assertThat(outcome.figures().getInt("exit_code"))
                .as(outcome.figures().toString())
                .isZero();
        assertThat(outcome.figures().getInt("on_v2")).isEqualTo(5);
        assertThat(outcome.figures().getLong("served")).isPositive();
        assertThat(outcome.figures().getBoolean("went_down")).isTrue();
    }
}

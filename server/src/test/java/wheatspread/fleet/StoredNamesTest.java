package wheatspread.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The names by which states stand in the state file, the status file and the log; they never change. */
class StoredNamesTest {
    @Test
    void instanceStatesKeepTheirStoredNames() {
        assertThat(Stream.of(FleetInstance.State.values()).map(FleetInstance.State::storedName))
                .containsExactly("ABSENT", "STARTING", "UP", "UNWELL", "LEAVING", "HELD");
        for (FleetInstance.State state : FleetInstance.State.values()) {
            assertThat(FleetInstance.State.fromStoredName(state.storedName())).isSameAs(state);
        }
        assertThatThrownBy(() -> FleetInstance.State.fromStoredName("up"))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessage("unknown state: up");
    }

    @Test
    void rolloutStatusesKeepTheirStoredNames() {
        assertThat(Stream.of(Rollout.Status.values()).map(Rollout.Status::storedName))
                .containsExactly("RUNNING", "ROLLING_BACK", "DONE", "STOPPED", "ROLLED_BACK");
        for (Rollout.Status status : Rollout.Status.values()) {
            assertThat(Rollout.Status.fromStoredName(status.storedName())).isSameAs(status);
        }
        assertThatThrownBy(() -> Rollout.Status.fromStoredName(""))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessage("unknown status: ");
    }

    @Test
    void rolloutStepsKeepTheirStoredNames() {
        assertThat(Stream.of(Rollout.Step.values()).map(Rollout.Step::storedName))
                .containsExactly("WAITING", "LEAVING", "GONE", "STARTING", "PROVING", "DONE");
        for (Rollout.Step step : Rollout.Step.values()) {
            assertThat(Rollout.Step.fromStoredName(step.storedName())).isSameAs(step);
        }
        assertThatThrownBy(() -> Rollout.Step.fromStoredName("NONE"))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessage("unknown step: NONE");
    }
}

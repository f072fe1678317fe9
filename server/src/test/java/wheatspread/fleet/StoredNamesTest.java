package wheatspread.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against changed names of states in the state file, the status file and the log. */
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
        assertThat(Stream.of(RolloutStatus.values()).map(RolloutStatus::storedName))
                .containsExactly("RUNNING", "ROLLING_BACK", "DONE", "STOPPED", "ROLLED_BACK");
        for (RolloutStatus status : RolloutStatus.values()) {
            assertThat(RolloutStatus.fromStoredName(status.storedName())).isSameAs(status);
        }
        assertThatThrownBy(() -> RolloutStatus.fromStoredName(""))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessage("unknown status: ");
    }

    @Test
    void rolloutStepsKeepTheirStoredNames() {
        assertThat(Stream.of(RolloutStep.values()).map(RolloutStep::storedName))
                .containsExactly("WAITING", "LEAVING", "GONE", "STARTING", "PROVING", "DONE");
        for (RolloutStep step : RolloutStep.values()) {
            assertThat(RolloutStep.fromStoredName(step.storedName())).isSameAs(step);
        }
        assertThatThrownBy(() -> RolloutStep.fromStoredName("NONE"))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessage("unknown step: NONE");
    }
}

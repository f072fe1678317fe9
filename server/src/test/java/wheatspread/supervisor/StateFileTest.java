package wheatspread.supervisor;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wheatspread.fleet.FleetInstance;
import wheatspread.fleet.FleetState;
import wheatspread.fleet.RolloutStatus;
import wheatspread.fleet.RolloutStep;

class StateFileTest {
    @TempDir
    private Path dir;

    private static FleetState state(int generation, boolean withRollout) {
        FleetState.InstanceRecord instance = new FleetState.InstanceRecord(
                "n1",
                FleetInstance.State.DRAINING,
                true,
                "v1",
                generation,
                77,
                5,
                4,
                3,
                List.of(1L, 2L),
                2,
                9,
                Long.MAX_VALUE);
        return new FleetState(
                List.of(instance),
                withRollout
                        ? new FleetState.RolloutRecord(
                                "v1",
                                "v2",
                                RolloutStatus.ROLLING_BACK,
                                "why",
                                1,
                                6,
                                0,
                                Map.of("n1", RolloutStep.STOPPED))
                        : null,
                true);
    }

    @Test
    void loadsSavedStateAndIgnoresIncompleteTemporaryFile() throws IOException {
        StateFile file = new StateFile(dir.resolve("state.json"));
        assertThat(file.load()).isNull();
        file.save(state(1, false));
        assertThat(file.load()).isEqualTo(state(1, false));
        file.save(state(2, true));
        Files.writeString(dir.resolve("state.json.new"), "{\"version\": 1, \"memb"); // incomplete after a crash
        assertThat(file.load()).isEqualTo(state(2, true));
    }

    @Test
    void rejectsUnknownVersionAndMissingFields() throws IOException {
        Path path = dir.resolve("state.json");
        Files.writeString(path, new JSONObject().put("version", 2).toString());
        assertThatThrownBy(new StateFile(path)::load).hasMessageContaining("has version 2, expected 1");
        Files.writeString(path, "{\"version\": 1, \"members\": [{}], \"down\": false}");
        assertThatThrownBy(new StateFile(path)::load).hasMessageContaining("is not a valid state file");
    }

    @Test
    void keepsCommandUntilASupervisorAnswersIt() throws Exception {
        CommandSpool spool = new CommandSpool(dir);
        assertThat(spool.submit(new JSONObject().put("do", "down"), 0)).isNull(); // no supervisor reads the command
        Files.writeString(dir.resolve("commands/0.json"), "no JSON");
        CommandSpool.Command command = spool.next();
        assertThat(command.arguments().getString("do")).isEqualTo("down");
        assertThat(dir.resolve("commands/0.done")).content().contains("not a JSON object");
        spool.answer(command, new JSONObject().put("ok", true));
        assertThat(spool.next()).isNull();
    }
}

package wheatspread.supervisor;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wheatspread.fleet.FleetController;
import wheatspread.fleet.FleetInstance.Health;
import wheatspread.fleet.FleetPlan;
import wheatspread.fleet.FleetState;
import wheatspread.logging.EventLog;

/**
 * Guards against changes to the format of the state and status files: files of an earlier release keep their content.
 */
class SupervisorFilesCompatibilityTest {
    private static final Path FILES = Path.of("src/test/resources/compatibility/supervisor");
    private static final long SAVED_AT_MICROS = 1_000_000_000_000L;

    @TempDir
    private Path dir;

    private static FleetState stateOf(String fileSuffix) throws IOException {
        return new StateFile(FILES.resolve("state-" + fileSuffix + ".json")).load();
    }

    @ParameterizedTest
    @CsvSource({"running", "rolling-back", "done", "stopped", "rolled-back", "no-roll"})
    void writesStateFileOfEarlierReleaseUnchanged(String fileSuffix) throws IOException {
        FleetState state = stateOf(fileSuffix);
        assertThat(state.instances().stream().map(member -> member.state().storedName()))
                .containsExactly("ABSENT", "STARTING", "UP", "UNWELL", "LEAVING", "HELD");
        Path copy = dir.resolve("state.json");
        new StateFile(copy).save(state);
        assertThat(Files.readString(copy)).isEqualTo(Files.readString(FILES.resolve("state-" + fileSuffix + ".json")));
    }

    @Test
    void readsEveryFieldOfEarlierStateFile() throws IOException {
        FleetState state = stateOf("rolling-back");
        assertThat(state.shuttingDown()).isFalse();
        assertThat(stateOf("stopped").shuttingDown()).isTrue();
        assertThat(stateOf("no-roll").rollout()).isNull();

        FleetState.InstanceRecord healthyInstance = state.instances().get(2);
        assertThat(healthyInstance.name()).isEqualTo("n3");
        assertThat(healthyInstance.shouldRun()).isTrue();
        assertThat(healthyInstance.build()).isEqualTo("v1");
        assertThat(healthyInstance.generation()).isEqualTo(3);
        assertThat(healthyInstance.pid()).isEqualTo(103);
        assertThat(healthyInstance.stateSinceMicros()).isEqualTo(SAVED_AT_MICROS - 5_000_000);
        assertThat(healthyInstance.startedAtMicros()).isEqualTo(SAVED_AT_MICROS - 9_000_000);
        assertThat(healthyInstance.firstHealthyAtMicros()).isEqualTo(SAVED_AT_MICROS - 8_000_000);
        assertThat(healthyInstance.heldUntilMicros()).isEqualTo(-1);
        assertThat(state.instances().get(4).shouldRun()).isFalse();

        FleetState.InstanceRecord heldInstance = state.instances().get(5);
        assertThat(heldInstance.exitTimesMicros())
                .containsExactly(
                        SAVED_AT_MICROS - 30_000_000, SAVED_AT_MICROS - 20_000_000, SAVED_AT_MICROS - 5_000_000);
        assertThat(heldInstance.consecutiveExits()).isEqualTo(3);
        assertThat(heldInstance.nextStartMicros()).isEqualTo(SAVED_AT_MICROS - 4_000_000);
        assertThat(heldInstance.heldUntilMicros()).isEqualTo(SAVED_AT_MICROS + 60_000_000);

        FleetState.RolloutRecord rollout = state.rollout();
        assertThat(rollout.fromBuild()).isEqualTo("v1");
        assertThat(rollout.toBuild()).isEqualTo("v2");
        assertThat(rollout.status().storedName()).isEqualTo("ROLLING_BACK");
        assertThat(rollout.reason()).isEqualTo("n1: ended with code 78");
        assertThat(rollout.failures()).isOne();
        assertThat(rollout.startedAtMicros()).isEqualTo(SAVED_AT_MICROS - 12_000_000);
        assertThat(rollout.endedAtMicros()).isZero();
        assertThat(stateOf("done").rollout().endedAtMicros()).isEqualTo(SAVED_AT_MICROS - 1_000_000);
        Map<String, String> steps = new LinkedHashMap<>();
        rollout.steps().forEach((name, step) -> steps.put(name, step.storedName()));
        assertThat(steps)
                .isEqualTo(Map.of(
                        "n1",
                        "WAITING",
                        "n2",
                        "LEAVING",
                        "n3",
                        "GONE",
                        "n4",
                        "STARTING",
                        "n5",
                        "PROVING",
                        "n6",
                        "DONE"));
    }

    /** Compares all fields and values except the pid of the supervisor itself. */
    @ParameterizedTest
    @CsvSource({"running", "rolling-back", "done", "stopped", "rolled-back", "no-roll"})
    void writesSameStatusAsEarlierReleaseForRestoredFleet(String fileSuffix) throws IOException {
        FleetPlan plan = new FleetPlan(
                List.of("n1", "n2", "n3", "n4", "n5", "n6"),
                "v1",
                8,
                15_000_000,
                5_000_000,
                3_000_000,
                3,
                15_000_000,
                2_000_000,
                new FleetPlan.RolloutPolicy(0.34, 0, 5, 1_000_000, 8_000_000, 0.5, 1, true),
                new FleetPlan.BackoffPolicy(200_000, 2, 5_000_000, 0.2, 60_000_000, 3, 60_000_000, 0));
        FleetController fleet = new FleetController(plan, 7, EventLog.NONE);
        FleetState state = stateOf(fileSuffix);
        Map<String, FleetState.RunningProcess> running = new LinkedHashMap<>();
        for (FleetState.InstanceRecord member : state.instances().subList(1, 5)) {
            running.put(member.name(), new FleetState.RunningProcess(member.pid(), member.generation()));
        }
        fleet.restore(state, running, SAVED_AT_MICROS);
        fleet.healthCheckAnswered("n3", 3, new Health(true, 40, 2, 1, 250_000), SAVED_AT_MICROS + 100_000);

        JSONObject expected = new JSONObject(Files.readString(FILES.resolve("status-" + fileSuffix + ".json")));
        JSONObject written = StatusFile.toJson(fleet, SAVED_AT_MICROS + 400_000).put("pid", expected.get("pid"));
        Files.writeString(dir.resolve("status.json"), written.toString());
        assertThat(new StatusFile(dir).read().toMap()).isEqualTo(expected.toMap());
    }
}

package wheatspread.supervisor;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;
import wheatspread.daemon.AtomicFile;
import wheatspread.fleet.FleetInstance;
import wheatspread.fleet.FleetState;
import wheatspread.fleet.RolloutStatus;
import wheatspread.fleet.RolloutStep;

/**
 * Stores the fleet's state in a JSON file, from which the next supervisor restores it. This class maps the keys of the
 * file, which must not change, to the fields of {@link FleetState}.
 */
final class StateFile {
    private static final int VERSION = 1;

    private final Path file;

    StateFile(Path file) {
        this.file = file;
    }

    /**
     * Returns the saved state; null if there is none.
     *
     * @throws IOException if the file has another version or lacks a key
     */
    FleetState load() throws IOException {
        if (!Files.exists(file)) {
            return null;
        }
        try {
            JSONObject json = new JSONObject(Files.readString(file));
            if (json.getInt("version") != VERSION) {
                throw new IOException(file + " has version " + json.get("version") + ", expected " + VERSION);
            }
            return fromJson(json);
        } catch (JSONException | IllegalArgumentException e) {
            throw new IOException(file + " is not a valid state file: " + e.getMessage(), e);
        }
    }

    /**
     * Replaces the file atomically: after a crash it contains either the complete old state or the complete new one.
     */
    void save(FleetState state) throws IOException {
        AtomicFile.writeSynced(file, toJson(state).toString(1) + "\n");
    }

    static JSONObject toJson(FleetState state) {
        JSONArray instances = new JSONArray();
        state.instances().forEach(instance -> instances.put(instanceToJson(instance)));
        JSONObject json = new JSONObject()
                .put("version", VERSION)
                .put("members", instances)
                .put("down", state.shuttingDown());
        if (state.rollout() != null) {
            json.put("roll", rolloutToJson(state.rollout()));
        }
        return json;
    }

    private static JSONObject instanceToJson(FleetState.InstanceRecord instance) {
        return new JSONObject()
                .put("name", instance.name())
                .put("state", instance.state().storedName())
                .put("wanted", instance.shouldRun())
                .put("build", instance.build())
                .put("generation", instance.generation())
                .put("pid", instance.pid())
                .put("since", instance.stateSinceMicros())
                .put("started_at", instance.startedAtMicros())
                .put("well_at", instance.firstHealthyAtMicros())
                .put("ends", instance.exitTimesMicros())
                .put("ends_in_a_row", instance.consecutiveExits())
                .put("not_before", instance.nextStartMicros())
                .put("held_until", instance.heldUntilMicros());
    }

    private static JSONObject rolloutToJson(FleetState.RolloutRecord rollout) {
        JSONArray steps = new JSONArray();
        rollout.steps()
                .forEach((name, step) -> steps.put(new JSONArray().put(name).put(step.storedName())));
        return new JSONObject()
                .put("from", rollout.fromBuild())
                .put("to", rollout.toBuild())
                .put("status", rollout.status().storedName())
                .put("reason", rollout.reason())
                .put("failures", rollout.failures())
                .put("began_at", rollout.startedAtMicros())
                .put("ended_at", rollout.endedAtMicros())
                .put("steps", steps);
    }

    static FleetState fromJson(JSONObject json) {
        List<FleetState.InstanceRecord> instances = new ArrayList<>();
        for (Object instance : json.getJSONArray("members")) {
            instances.add(instanceFromJson((JSONObject) instance));
        }
        JSONObject rollout = json.optJSONObject("roll");
        return new FleetState(instances, rollout == null ? null : rolloutFromJson(rollout), json.getBoolean("down"));
    }

    private static FleetState.InstanceRecord instanceFromJson(JSONObject json) {
        List<Long> exitTimesMicros = new ArrayList<>();
        json.getJSONArray("ends").forEach(time -> exitTimesMicros.add(((Number) time).longValue()));
        return new FleetState.InstanceRecord(
                json.getString("name"),
                FleetInstance.State.fromStoredName(json.getString("state")),
                json.getBoolean("wanted"),
                json.getString("build"),
                json.getInt("generation"),
                json.getLong("pid"),
                json.getLong("since"),
                json.getLong("started_at"),
                json.getLong("well_at"),
                exitTimesMicros,
                json.getInt("ends_in_a_row"),
                json.getLong("not_before"),
                json.getLong("held_until"));
    }

    private static FleetState.RolloutRecord rolloutFromJson(JSONObject json) {
        Map<String, RolloutStep> steps = new LinkedHashMap<>();
        for (Object element : json.getJSONArray("steps")) {
            JSONArray nameAndStep = (JSONArray) element;
            steps.put(nameAndStep.getString(0), RolloutStep.fromStoredName(nameAndStep.getString(1)));
        }
        return new FleetState.RolloutRecord(
                json.getString("from"),
                json.getString("to"),
                RolloutStatus.fromStoredName(json.getString("status")),
                json.getString("reason"),
                json.getInt("failures"),
                json.getLong("began_at"),
                json.getLong("ended_at"),
                steps);
    }
}

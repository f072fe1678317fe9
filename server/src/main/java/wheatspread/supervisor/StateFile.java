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
import wheatspread.fleet.Rollout;

/**
 * The fleet's state in a file of JSON: written beside, synced, renamed over the old one, and the folder
 * synced, so that a crash leaves the old or the new one whole.
 */
final class StateFile {
    private static final int VERSION = 1;

    private final Path file;

    StateFile(Path file) {
        this.file = file;
    }

    /** Null where there is none; one of another version is refused. */
    FleetState load() throws IOException {
        if (!Files.exists(file)) {
            return null;
        }
        try {
            JSONObject json = new JSONObject(Files.readString(file));
            if (json.getInt("version") != VERSION) {
                throw new IOException(file + " is of version " + json.get("version") + ", not " + VERSION);
            }
            return read(json);
        } catch (JSONException | IllegalArgumentException e) {
            throw new IOException(file + " cannot be understood: " + e.getMessage(), e);
        }
    }

    void save(FleetState state) throws IOException {
        AtomicFile.writeSynced(file, write(state).toString(1) + "\n");
    }

    static JSONObject write(FleetState state) {
        JSONArray members = new JSONArray();
        for (FleetState.Of one : state.members()) {
            members.put(new JSONObject()
                    .put("name", one.name())
                    .put("state", one.state().storedName())
                    .put("wanted", one.wanted())
                    .put("build", one.build())
                    .put("generation", one.generation())
                    .put("pid", one.pid())
                    .put("since", one.since())
                    .put("started_at", one.startedAt())
                    .put("well_at", one.wellAt())
                    .put("ends", one.ends())
                    .put("ends_in_a_row", one.endsInARow())
                    .put("not_before", one.notBefore())
                    .put("held_until", one.heldUntil()));
        }
        JSONObject json =
                new JSONObject().put("version", VERSION).put("members", members).put("down", state.down());
        FleetState.Roll roll = state.roll();
        if (roll != null) {
            JSONArray steps = new JSONArray();
            roll.steps()
                    .forEach((name, step) -> steps.put(new JSONArray().put(name).put(step.storedName())));
            json.put(
                    "roll",
                    new JSONObject()
                            .put("from", roll.from())
                            .put("to", roll.to())
                            .put("status", roll.status().storedName())
                            .put("reason", roll.reason())
                            .put("failures", roll.failures())
                            .put("began_at", roll.beganAt())
                            .put("ended_at", roll.endedAt())
                            .put("steps", steps));
        }
        return json;
    }

    static FleetState read(JSONObject json) {
        List<FleetState.Of> members = new ArrayList<>();
        for (Object told : json.getJSONArray("members")) {
            JSONObject one = (JSONObject) told;
            List<Long> ends = new ArrayList<>();
            one.getJSONArray("ends").forEach(at -> ends.add(((Number) at).longValue()));
            members.add(new FleetState.Of(
                    one.getString("name"),
                    FleetInstance.State.fromStoredName(one.getString("state")),
                    one.getBoolean("wanted"),
                    one.getString("build"),
                    one.getInt("generation"),
                    one.getLong("pid"),
                    one.getLong("since"),
                    one.getLong("started_at"),
                    one.getLong("well_at"),
                    ends,
                    one.getInt("ends_in_a_row"),
                    one.getLong("not_before"),
                    one.getLong("held_until")));
        }
        JSONObject roll = json.optJSONObject("roll");
        Map<String, Rollout.Step> steps = new LinkedHashMap<>();
        if (roll != null) {
            for (Object told : roll.getJSONArray("steps")) {
                steps.put(
                        ((JSONArray) told).getString(0), Rollout.Step.fromStoredName(((JSONArray) told).getString(1)));
            }
        }
        return new FleetState(
                members,
                roll == null
                        ? null
                        : new FleetState.Roll(
                                roll.getString("from"),
                                roll.getString("to"),
                                Rollout.Status.fromStoredName(roll.getString("status")),
                                roll.getString("reason"),
                                roll.getInt("failures"),
                                roll.getLong("began_at"),
                                roll.getLong("ended_at"),
                                steps),
                json.getBoolean("down"));
    }
}

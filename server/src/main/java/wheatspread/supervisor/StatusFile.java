package wheatspread.supervisor;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;
import wheatspread.daemon.AtomicFile;
import wheatspread.fleet.FleetController;
import wheatspread.fleet.FleetInstance;
import wheatspread.fleet.Rollout;

/** What a supervisor tells of its fleet, in a file that anybody may read as often as they like. */
public final class StatusFile {
    /** A status older than this was written by a supervisor that is gone or stuck; milliseconds. */
    public static final long STALE_MS = 3_000;

    private final Path file;

    public StatusFile(Path fleetDir) {
        file = fleetDir.resolve("status.json");
    }

    /** Null where no supervisor has ever run here. */
    public JSONObject read() throws IOException {
        try {
            return Files.exists(file) ? new JSONObject(Files.readString(file)) : null;
        } catch (JSONException e) {
            throw new IOException(file + " cannot be understood: " + e.getMessage(), e);
        }
    }

    void write(JSONObject status) throws IOException {
        AtomicFile.write(file, status + "\n");
    }

    /** Times in milliseconds; an age of -1 means never. */
    static JSONObject of(FleetController fleet, long now) {
        JSONArray members = new JSONArray();
        for (FleetInstance one : fleet.roster().all()) {
            long age = one.age(now);
            JSONObject told = new JSONObject()
                    .put("name", one.name())
                    .put("state", one.state().storedName())
                    .put("stale", fleet.roster().isStale(one, now))
                    .put("wanted", one.wanted())
                    .put("build", one.build())
                    .put("generation", one.generation())
                    .put("pid", one.pid())
                    .put("in_state_ms", one.inState(now) / 1_000)
                    .put("heard_ms", age < 0 ? -1 : age / 1_000);
            if (one.health() != null) {
                told.put("served", one.health().served())
                        .put("failed", one.health().failed())
                        .put("refused", one.health().refused())
                        .put("warm_in_ms", one.health().warmIn() / 1_000);
            }
            if (one.lastCode() != null) {
                told.put("last_code", one.lastCode());
            }
            members.put(told);
        }
        JSONObject status = new JSONObject()
                .put("at", now / 1_000)
                .put("pid", ProcessHandle.current().pid())
                .put("members", members)
                .put("going_down", fleet.goingDown());
        Rollout roll = fleet.roll();
        if (roll != null) {
            JSONObject steps = new JSONObject();
            for (Rollout.Step step : Rollout.Step.values()) {
                steps.put(step.storedName().toLowerCase(Locale.ROOT), roll.count(step));
            }
            long ended = roll.endedAt() == 0 ? now : roll.endedAt();
            status.put(
                    "roll",
                    new JSONObject()
                            .put("to", roll.to())
                            .put("status", roll.status().storedName())
                            .put("paused", roll.paused())
                            .put("reason", roll.reason())
                            .put("steps", steps)
                            .put("members", roll.size())
                            .put("began_at", roll.beganAt() / 1_000)
                            .put("took_ms", (ended - roll.beganAt()) / 1_000));
        }
        return status;
    }
}

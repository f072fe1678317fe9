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
import wheatspread.fleet.RolloutStep;

/**
 * Stores the status of a fleet in a JSON file, which other programs may read at any time. This class maps the fields of
 * the fleet to the keys of the file, which must not change. Times in the file are milliseconds.
 */
public final class StatusFile {
    /** If the status is older than this time, the supervisor that wrote it has exited or hangs. */
    public static final long STALE_AFTER_MILLIS = 3_000;

    private static final long MICROS_PER_MILLI = 1_000;
    /** The value of {@code heard_ms} for an instance that has not answered a health check. */
    private static final long NEVER = -1;

    private final Path file;

    /** Creates an object for the status file in a fleet's directory; the file need not exist. */
    public StatusFile(Path fleetDir) {
        file = fleetDir.resolve("status.json");
    }

    /** Returns the last status; null if the file does not exist. */
    public JSONObject read() throws IOException {
        try {
            return Files.exists(file) ? new JSONObject(Files.readString(file)) : null;
        } catch (JSONException e) {
            throw new IOException(file + " is not a valid status file: " + e.getMessage(), e);
        }
    }

    void write(JSONObject status) throws IOException {
        AtomicFile.write(file, status + "\n");
    }

    static JSONObject toJson(FleetController fleet, long nowMicros) {
        JSONArray instances = new JSONArray();
        for (FleetInstance instance : fleet.instances().all()) {
            boolean healthIsStale = fleet.instances().isStale(instance, nowMicros);
            instances.put(instanceToJson(instance, healthIsStale, nowMicros));
        }
        JSONObject status = new JSONObject()
                .put("at", nowMicros / MICROS_PER_MILLI)
                .put("pid", ProcessHandle.current().pid())
                .put("members", instances)
                .put("going_down", fleet.isShuttingDown());
        if (fleet.rollout() != null) {
            status.put("roll", rolloutToJson(fleet.rollout(), nowMicros));
        }
        return status;
    }

    private static JSONObject instanceToJson(FleetInstance instance, boolean healthIsStale, long nowMicros) {
        long sinceLastCheckMicros = instance.sinceLastCheckMicros(nowMicros);
        JSONObject json = new JSONObject()
                .put("name", instance.name())
                .put("state", instance.state().storedName())
                .put("stale", healthIsStale)
                .put("wanted", instance.shouldRun())
                .put("build", instance.build())
                .put("generation", instance.generation())
                .put("pid", instance.pid())
                .put("in_state_ms", instance.inStateMicros(nowMicros) / MICROS_PER_MILLI)
                .put("heard_ms", sinceLastCheckMicros < 0 ? NEVER : sinceLastCheckMicros / MICROS_PER_MILLI);
        FleetInstance.Health health = instance.health();
        if (health != null) {
            json.put("served", health.served())
                    .put("failed", health.failed())
                    .put("refused", health.rejected())
                    .put("warm_in_ms", health.warmUpRemainingMicros() / MICROS_PER_MILLI);
        }
        if (instance.lastExitCode() != null) {
            json.put("last_code", instance.lastExitCode());
        }
        return json;
    }

    private static JSONObject rolloutToJson(Rollout rollout, long nowMicros) {
        JSONObject steps = new JSONObject();
        for (RolloutStep step : RolloutStep.values()) {
            steps.put(step.storedName().toLowerCase(Locale.ROOT), rollout.count(step));
        }
        long untilMicros = rollout.endedAtMicros() == 0 ? nowMicros : rollout.endedAtMicros();
        return new JSONObject()
                .put("to", rollout.toBuild())
                .put("status", rollout.status().storedName())
                .put("paused", rollout.isPaused())
                .put("reason", rollout.reason())
                .put("steps", steps)
                .put("members", rollout.size())
                .put("began_at", rollout.startedAtMicros() / MICROS_PER_MILLI)
                .put("took_ms", (untilMicros - rollout.startedAtMicros()) / MICROS_PER_MILLI);
    }
}

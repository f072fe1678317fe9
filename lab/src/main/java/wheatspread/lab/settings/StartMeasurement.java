package wheatspread.lab.settings;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;

/** Measures whether a server starts, and the time, processor time and memory of its start. */
final class StartMeasurement {
    private static final long START_TIMEOUT_MS = 60_000;
    private static final long EXIT_TIMEOUT_MS = 5_000;
    /** After this time the first event-loop turns are over. */
    private static final long SETTLING_MS = 500;

    private StartMeasurement() {}

    /**
     * Waits for a server that was just started. Times are in seconds and sizes in bytes. If the server did not start,
     * {@code started} is false and the figures hold its exit code and its last error line instead.
     */
    static JSONObject measure(MeasuredServer server) throws IOException, InterruptedException {
        JSONObject figures = new JSONObject().put("configuration_bytes", server.configurationBytes());
        boolean serves = server.awaitServing(START_TIMEOUT_MS);
        double seconds = server.secondsSinceStart();
        if (!serves || !server.isAlive()) {
            return figures.put("started", false)
                    .put("ended_after_seconds", seconds)
                    .put("exit_code", server.exitCode(EXIT_TIMEOUT_MS))
                    .put("log_lines", server.log().size())
                    .put("message", server.lastErrorLine());
        }
        double processorSeconds = server.processorSeconds();
        boolean ready = server.awaitReady(START_TIMEOUT_MS);
        double readySeconds = server.secondsSinceStart();
        TimeUnit.MILLISECONDS.sleep(SETTLING_MS);
        long residentBytes = server.residentBytes();
        return figures.put("started", true)
                .put("seconds", seconds)
                .put("door_ready", ready)
                .put("door_ready_seconds", readySeconds)
                .put("cpu_seconds", processorSeconds)
                .put("resident_bytes", residentBytes)
                .put("peak_resident_bytes", server.peakResidentBytes())
                .put("heap_bytes", server.liveHeapBytes());
    }
}

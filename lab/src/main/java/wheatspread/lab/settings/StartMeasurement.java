package wheatspread.lab.settings;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;

/** Whether a server starts, and what its start costs. */
final class StartMeasurement {
    private static final long START_MS = 60_000;
    private static final long END_MS = 5_000;
    /** The first turns after a start are over by then. */
    private static final long CALM_MS = 500;

    private StartMeasurement() {}

    /**
     * Waits for a server that was just started. Times are seconds and sizes bytes; where it did not start, its exit
     * code and the last line of its log are told instead, and {@code started} is false.
     */
    static JSONObject measure(MeasuredServer server) throws IOException, InterruptedException {
        JSONObject figures = new JSONObject().put("configuration_bytes", server.configurationBytes());
        boolean serves = server.awaitServing(START_MS);
        double seconds = server.secondsSinceStart();
        if (!serves || !server.isAlive()) {
            return figures.put("started", false)
                    .put("ended_after_seconds", seconds)
                    .put("exit_code", server.exitCode(END_MS))
                    .put("log_lines", server.log().size())
                    .put("message", server.lastWords());
        }
        double processor = server.processorSeconds();
        boolean ready = server.awaitReady(START_MS);
        double readySeconds = server.secondsSinceStart();
        TimeUnit.MILLISECONDS.sleep(CALM_MS);
        long resident = server.residentBytes();
        return figures.put("started", true)
                .put("seconds", seconds)
                .put("door_ready", ready)
                .put("door_ready_seconds", readySeconds)
                .put("cpu_seconds", processor)
                .put("resident_bytes", resident)
                .put("peak_resident_bytes", server.peakResidentBytes())
                .put("heap_bytes", server.liveHeapBytes());
    }
}

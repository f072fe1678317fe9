package wheatspread.daemon;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.json.JSONObject;

/**
 * A kernel that does what a body says: {@code ok} ends with the body turned round, {@code call} ends with the
 * reply to its call, {@code error} fails, and {@code hang} never ends. It notes every run.
 */
final class StandInKernel implements Runnable {
    final List<String> runs = Collections.synchronizedList(new ArrayList<>());
    private final Stage stage;
    private final Map<String, String> bodies = new HashMap<>();
    private int notices;

    StandInKernel(Stage stage) {
        this.stage = stage;
    }

    @Override
    public void run() {
        try (Wire wire = new Wire(stage.kernels.accept())) {
            for (String line = wire.line(); line != null; line = wire.line()) {
                command(wire, new JSONObject(line));
            }
        } catch (IOException e) {
            // the stage was closed
        }
    }

    private void command(Wire wire, JSONObject command) throws IOException {
        String job = command.optString("job");
        switch (command.getString("type")) {
            case "OPEN" -> wire.line("{\"type\":\"BOOTED\",\"state\":\"WARM\",\"took\":5}");
            case "SYSINFO" -> wire.line("{\"type\":\"INFO\",\"gauges\":[0.2,1,0.1,2],\"ref\":\""
                + command.getString("ref") + "\"}");
            case "SCHED" -> start(wire, job, decode(command.getString("data")));
            case "IODONE" -> end(wire, job, "OK", decode(command.getString("data")));
            case "PREEMPT" -> end(wire, job, "STOPPED", "");
            default -> throw new IOException("unexpected " + command);
        }
    }

    private void start(Wire wire, String job, String body) throws IOException {
        runs.add(body);
        bodies.put(job, body);
        if (body.startsWith("ok")) {
            end(wire, job, "OK", new StringBuilder(body).reverse().toString());
        } else if (body.startsWith("error")) {
            end(wire, job, "ERROR", "");
        } else if (body.startsWith("call")) {
            wire.line(notice("IOREQ", job).put("data", encode(body)).toString());
        }
    }

    private void end(Wire wire, String job, String state, String result) throws IOException {
        JSONObject reap = notice("REAP", job).put("state", state).put("took", 3);
        wire.line(reap.put("data", encode(result)).toString());
    }

    private JSONObject notice(String type, String job) {
        return new JSONObject().put("type", type).put("n", ++notices).put("job", job);
    }

    static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    static String decode(String text) {
        return new String(Base64.getDecoder().decode(text), StandardCharsets.UTF_8);
    }
}

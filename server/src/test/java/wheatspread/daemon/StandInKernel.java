package wheatspread.daemon;

import java.io.IOException;
import java.net.ServerSocket;
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
 * reply to its call, {@code error} fails, and {@code hang} never ends. It notes every run. Its links follow
 * the protocol's page: a new one replaces the one before, runs and numbers go on, and the notices that its
 * {@code OPEN} says were missed come again. A stage that moves closes its socket, and the next link comes to
 * the new one.
 */
final class StandInKernel implements Runnable {
    final List<String> runs = Collections.synchronizedList(new ArrayList<>());
    private final Stage stage;
    private final Map<String, String> bodies = new HashMap<>();
    private final List<JSONObject> notices = new ArrayList<>();
    private Wire link;

    StandInKernel(Stage stage) {
        this.stage = stage;
    }

    @Override
    public void run() {
        while (!stage.isClosed()) {
            ServerSocket at = stage.kernels;
            try {
                Wire wire = new Wire(at.accept());
                Thread thread = new Thread(() -> serve(wire), "kernel link");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                // nobody came, or the stage has moved or closed
            }
        }
    }

    private void serve(Wire wire) {
        try (wire) {
            for (String line = wire.line(); line != null; line = wire.line()) {
                command(wire, new JSONObject(line));
            }
        } catch (IOException e) {
            // the link was replaced, or the stage was closed
        }
    }

    private synchronized void command(Wire wire, JSONObject command) throws IOException {
        String job = command.optString("job");
        if (command.getString("type").equals("OPEN")) {
            open(wire, command.getLong("n"));
        } else if (wire == link) {
            carryOut(command, job);
        }
    }

    private void open(Wire wire, long read) throws IOException {
        Wire old = link;
        link = wire;
        if (old != null) {
            old.close();
        }
        wire.line("{\"type\":\"BOOTED\",\"state\":\"WARM\",\"took\":5}");
        for (JSONObject missed : notices.subList((int) read, notices.size())) {
            wire.line(missed.toString());
        }
    }

    private void carryOut(JSONObject command, String job) throws IOException {
        switch (command.getString("type")) {
            case "SYSINFO" ->
                link.line("{\"type\":\"INFO\",\"gauges\":[0.2,1,0.1,2],\"ref\":\"" + command.getString("ref") + "\"}");
            case "SCHED" -> {
                if (!bodies.containsKey(job)) {
                    start(job, decode(command.getString("data")));
                }
            }
            case "IODONE" -> end(job, "OK", decode(command.getString("data")));
            case "PREEMPT" -> end(job, "STOPPED", "");
            default -> throw new IOException("unexpected " + command);
        }
    }

    private void start(String job, String body) throws IOException {
        runs.add(body);
        bodies.put(job, body);
        if (body.startsWith("ok")) {
            end(job, "OK", new StringBuilder(body).reverse().toString());
        } else if (body.startsWith("error")) {
            end(job, "ERROR", "");
        } else if (body.startsWith("call")) {
            notice("IOREQ", job, new JSONObject().put("data", encode(body)));
        }
    }

    private void end(String job, String state, String result) throws IOException {
        bodies.remove(job);
        notice("REAP", job, new JSONObject().put("state", state).put("took", 3).put("data", encode(result)));
    }

    /** It is kept first: what a broken link swallows comes again on the next one. */
    private void notice(String type, String job, JSONObject fields) throws IOException {
        fields.put("type", type).put("n", notices.size() + 1).put("job", job);
        notices.add(fields);
        link.line(fields.toString());
    }

    static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    static String decode(String text) {
        return new String(Base64.getDecoder().decode(text), StandardCharsets.UTF_8);
    }
}

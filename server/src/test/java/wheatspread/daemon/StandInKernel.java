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
 * the protocol's page: a new one replaces the one before, runs and numbers go on, and the messages that its
 * {@code OPEN} says were missed are sent again. A fixture that moves closes its socket, and the next link comes to
 * the new one.
 */
final class StandInKernel implements Runnable {
    final List<String> runs = Collections.synchronizedList(new ArrayList<>());
    private final ServerFixture fixture;
    private final Map<String, String> bodies = new HashMap<>();
    private final List<JSONObject> notices = new ArrayList<>();
    private TestConnection link;

    StandInKernel(ServerFixture fixture) {
        this.fixture = fixture;
    }

    @Override
    public void run() {
        while (!fixture.isClosed()) {
            ServerSocket at = fixture.kernels;
            try {
                TestConnection connection = new TestConnection(at.accept());
                Thread thread = new Thread(() -> serve(connection), "kernel link");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                // no connection came, or the fixture has moved or closed
            }
        }
    }

    private void serve(TestConnection connection) {
        try (connection) {
            for (String line = connection.line(); line != null; line = connection.line()) {
                command(connection, new JSONObject(line));
            }
        } catch (IOException e) {
            // the link was replaced, or the fixture was closed
        }
    }

    private synchronized void command(TestConnection connection, JSONObject command) throws IOException {
        String job = command.optString("job");
        if (command.getString("type").equals("OPEN")) {
            open(connection, command.getLong("n"));
        } else if (connection == link) {
            carryOut(command, job);
        }
    }

    private void open(TestConnection connection, long read) throws IOException {
        TestConnection old = link;
        link = connection;
        if (old != null) {
            old.close();
        }
        connection.line("{\"type\":\"BOOTED\",\"state\":\"WARM\",\"took\":5}");
        for (JSONObject missed : notices.subList((int) read, notices.size())) {
            connection.line(missed.toString());
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

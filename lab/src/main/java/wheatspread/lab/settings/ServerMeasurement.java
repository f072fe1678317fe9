package wheatspread.lab.settings;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.json.JSONArray;
import org.json.JSONObject;

/** The measurements of one server of a size, from its start to its end; what was broken stands in the figures. */
public final class ServerMeasurement {
    private static final long RUN_MICROS = 15_000;
    /** Of a run while requests are held: so many fit into the bound on what is held. */
    private static final long HELD_RUN_MICROS = 50_000;

    private static final int FEW_CONNECTIONS = 10;
    private static final int UWSGI_CONNECTIONS = 32;
    /** An idle connection is greeted and forgotten by then. */
    private static final long IDLE_MS = 1_000;

    /** How often a start is tried where others take the ports chosen for it. */
    private static final int MOST_PORTS = 5;

    private static final String PORT_TAKEN = "Address already in use";

    private final List<String> command;
    private final Load load;

    /**
     * How much is asked.
     *
     * @param rate requests a second
     * @param millis how long each point is measured
     * @param reloads SIGHUPs in a row
     * @param seed draws tenants, routes, classes and times
     */
    public record Load(double rate, long millis, int reloads, long seed) {}

    /** {@code command} starts the program up to {@code serve}. */
    public ServerMeasurement(List<String> command, Load load) {
        this.command = List.copyOf(command);
        this.load = load;
    }

    /** Start, delay on the platform's front, and reloads with so many tenants. */
    public JSONObject ofTenants(int tenants, int routes) throws IOException, InterruptedException {
        return played(new MeasurementSetup.Size(tenants, routes, RUN_MICROS), (stage, drawn, figures, faults) -> {
            try (LoadClients callers = jsonRpc(stage, drawn, FEW_CONNECTIONS);
                    CheckProbe probe = new CheckProbe(stage.listen())) {
                figures.put("delay", DelayMeasurement.measure(callers, load.rate, load.millis, faults));
                JSONObject reload = new JSONObject();
                figures.put("reload", reload);
                new ReloadMeasurement(stage.server(), stage.configuration(), callers, faults)
                        .measure(load.reloads, load.rate, probe, reload);
            }
        });
    }

    /** Start and delay on the uwsgi front with so many routes. */
    public JSONObject ofRoutes(int tenants, int routes) throws IOException, InterruptedException {
        return played(new MeasurementSetup.Size(tenants, routes, RUN_MICROS), (stage, drawn, figures, faults) -> {
            try (LoadClients callers =
                    new LoadClients(new UwsgiWire(), stage.uwsgi(), UWSGI_CONNECTIONS, stage.kernel(), drawn)) {
                figures.put("delay", DelayMeasurement.measure(callers, load.rate, load.millis, faults));
            }
        });
    }

    /** What is added while so many requests are open, most of them held. */
    public JSONObject ofHeld(int tenants, int routes, int open) throws IOException, InterruptedException {
        return played(new MeasurementSetup.Size(tenants, routes, HELD_RUN_MICROS), (stage, drawn, figures, faults) -> {
            try (LoadClients callers = jsonRpc(stage, drawn, FEW_CONNECTIONS);
                    CheckProbe probe = new CheckProbe(stage.listen())) {
                figures.put("held", HeldMeasurement.measure(callers, stage.kernel(), probe, open, load.millis));
            }
        });
    }

    /** Delay with so many connections, and the heap that each of them takes. */
    public JSONObject ofConnections(int tenants, int routes, int connections) throws IOException, InterruptedException {
        return played(new MeasurementSetup.Size(tenants, routes, RUN_MICROS), (stage, drawn, figures, faults) -> {
            long before = stage.server().liveHeapBytes();
            try (LoadClients callers = jsonRpc(stage, drawn, connections)) {
                TimeUnit.MILLISECONDS.sleep(IDLE_MS);
                long after = stage.server().liveHeapBytes();
                figures.put("idle_connection_bytes", (after - before) / (double) connections);
                figures.put("delay", DelayMeasurement.measure(callers, load.rate, load.millis, faults));
            }
        });
    }

    /** What is measured once a server serves. */
    private interface Act {
        void play(MeasurementSetup stage, LoadClients.Drawn drawn, JSONObject figures, List<String> faults)
                throws IOException, InterruptedException;
    }

    /** A port that was free may be taken by another process of the machine before the server listens on it. */
    private JSONObject played(MeasurementSetup.Size size, Act act) throws IOException, InterruptedException {
        JSONObject figures = playedOnce(size, act);
        for (int i = 1; i < MOST_PORTS && isPortTaken(figures.getJSONObject("start")); i++) {
            figures = playedOnce(size, act);
        }
        return figures;
    }

    private static boolean isPortTaken(JSONObject start) {
        return !start.getBoolean("started") && start.getString("message").contains(PORT_TAKEN);
    }

    private JSONObject playedOnce(MeasurementSetup.Size size, Act act) throws IOException, InterruptedException {
        JSONObject figures = new JSONObject().put("tenants", size.tenants()).put("routes", size.routes());
        List<String> faults = new ArrayList<>();
        try (MeasurementSetup stage = new MeasurementSetup(command, size)) {
            JSONObject start = StartMeasurement.measure(stage.server());
            figures.put("start", start);
            if (start.getBoolean("started")) {
                play(stage, act, figures, faults);
            } else {
                faults.add("did not start: " + start.getString("message"));
            }
        }
        return figures.put("faults", new JSONArray(faults));
    }

    private void play(MeasurementSetup stage, Act act, JSONObject figures, List<String> faults)
            throws InterruptedException {
        MeasurementSetup.Size size = stage.size();
        MeasuredServer server = stage.server();
        try {
            act.play(stage, new LoadClients.Drawn(size.tenants(), size.routes(), load.seed), figures, faults);
        } catch (IOException e) { // the point is lost, the others are not
            faults.add("not measured to the end: " + e.getMessage());
        }
        boolean ended = !server.isAlive();
        int code = server.leave();
        if (code != 0) {
            faults.add((ended ? "ended by itself with " : "left with ") + code + ": " + server.lastWords());
        }
    }

    private static LoadClients jsonRpc(MeasurementSetup stage, LoadClients.Drawn drawn, int connections) {
        return new LoadClients(
                new JsonRpcWire(stage.size().runMicros() / 1e3), stage.listen(), connections, stage.kernel(), drawn);
    }
}

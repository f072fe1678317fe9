package wheatspread.lab.settings;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.json.JSONArray;
import org.json.JSONObject;

/** Measures one server from start to exit. The figures list the violations under {@code faults}. */
public final class ServerMeasurement {
    private static final long RUN_MICROS = 15_000;
    /** The duration of a run while requests are held; it keeps the load within the limit on held requests. */
    private static final long HELD_RUN_MICROS = 50_000;

    private static final int JSON_RPC_CONNECTIONS = 10;
    private static final int UWSGI_CONNECTIONS = 32;
    /** After this time the connections have been greeted and are idle. */
    private static final long GREETING_MS = 1_000;

    /** The limit on starts that fail because another process has taken a chosen port. */
    private static final int MAX_START_ATTEMPTS = 5;

    private static final String PORT_TAKEN = "Address already in use";

    private final List<String> command;
    private final Load load;

    /**
     * The load of a measurement.
     *
     * @param rate requests a second
     * @param millis duration of the measurement of each point
     * @param reloads SIGHUPs in a row
     * @param seed seed of the draws of tenants, routes, classes and times
     */
    public record Load(double rate, long millis, int reloads, long seed) {}

    /** {@code command} is the command line up to {@code serve}. */
    public ServerMeasurement(List<String> command, Load load) {
        this.command = List.copyOf(command);
        this.load = load;
    }

    /** Measures the start, the delay on the JSON-RPC front, and reloads. */
    public JSONObject measureTenants(int tenants, int routes) throws IOException, InterruptedException {
        return measure(new MeasurementSetup.Size(tenants, routes, RUN_MICROS), (setup, space, figures, faults) -> {
            try (LoadClients clients = jsonRpc(setup, space, JSON_RPC_CONNECTIONS);
                    CheckProbe probe = new CheckProbe(setup.jsonRpcAddress())) {
                figures.put("delay", DelayMeasurement.measure(clients, load.rate, load.millis, faults));
                JSONObject reload = new JSONObject();
                figures.put("reload", reload);
                new ReloadMeasurement(setup.server(), setup.configuration(), clients, faults)
                        .measure(load.reloads, load.rate, probe, reload);
            }
        });
    }

    /** Measures the start and the delay on the uwsgi front. */
    public JSONObject measureRoutes(int tenants, int routes) throws IOException, InterruptedException {
        return measure(new MeasurementSetup.Size(tenants, routes, RUN_MICROS), (setup, space, figures, faults) -> {
            try (LoadClients clients =
                    new LoadClients(new UwsgiWire(), setup.uwsgiAddress(), UWSGI_CONNECTIONS, setup.kernel(), space)) {
                figures.put("delay", DelayMeasurement.measure(clients, load.rate, load.millis, faults));
            }
        });
    }

    /** Measures the added time while {@code open} requests are open, most of them held. */
    public JSONObject measureHeld(int tenants, int routes, int open) throws IOException, InterruptedException {
        return measure(new MeasurementSetup.Size(tenants, routes, HELD_RUN_MICROS), (setup, space, figures, faults) -> {
            try (LoadClients clients = jsonRpc(setup, space, JSON_RPC_CONNECTIONS);
                    CheckProbe probe = new CheckProbe(setup.jsonRpcAddress())) {
                figures.put("held", HeldMeasurement.measure(clients, setup.kernel(), probe, open, load.millis));
            }
        });
    }

    /** Measures the delay with this number of connections, and the heap that each idle connection takes. */
    public JSONObject measureConnections(int tenants, int routes, int connections)
            throws IOException, InterruptedException {
        return measure(new MeasurementSetup.Size(tenants, routes, RUN_MICROS), (setup, space, figures, faults) -> {
            long before = setup.server().liveHeapBytes();
            try (LoadClients clients = jsonRpc(setup, space, connections)) {
                TimeUnit.MILLISECONDS.sleep(GREETING_MS);
                long after = setup.server().liveHeapBytes();
                figures.put("idle_connection_bytes", (after - before) / (double) connections);
                figures.put("delay", DelayMeasurement.measure(clients, load.rate, load.millis, faults));
            }
        });
    }

    /** A measurement of a server that has started. */
    private interface Measurement {
        void run(MeasurementSetup setup, LoadClients.RequestSpace space, JSONObject figures, List<String> faults)
                throws IOException, InterruptedException;
    }

    /** Repeats the start if another process of the machine took a chosen port before the server listened on it. */
    private JSONObject measure(MeasurementSetup.Size size, Measurement measurement)
            throws IOException, InterruptedException {
        JSONObject figures = measureOnce(size, measurement);
        for (int i = 1; i < MAX_START_ATTEMPTS && isPortTaken(figures.getJSONObject("start")); i++) {
            figures = measureOnce(size, measurement);
        }
        return figures;
    }

    private static boolean isPortTaken(JSONObject start) {
        return !start.getBoolean("started") && start.getString("message").contains(PORT_TAKEN);
    }

    private JSONObject measureOnce(MeasurementSetup.Size size, Measurement measurement)
            throws IOException, InterruptedException {
        JSONObject figures = new JSONObject().put("tenants", size.tenants()).put("routes", size.routes());
        List<String> faults = new ArrayList<>();
        try (MeasurementSetup setup = new MeasurementSetup(command, size)) {
            JSONObject start = StartMeasurement.measure(setup.server());
            figures.put("start", start);
            if (start.getBoolean("started")) {
                run(setup, measurement, figures, faults);
            } else {
                faults.add("server did not start: " + start.getString("message"));
            }
        }
        return figures.put("faults", new JSONArray(faults));
    }

    private void run(MeasurementSetup setup, Measurement measurement, JSONObject figures, List<String> faults)
            throws InterruptedException {
        MeasurementSetup.Size size = setup.size();
        MeasuredServer server = setup.server();
        try {
            measurement.run(
                    setup, new LoadClients.RequestSpace(size.tenants(), size.routes(), load.seed), figures, faults);
        } catch (IOException e) { // only this point is lost
            faults.add("measurement aborted: " + e.getMessage());
        }
        boolean ended = !server.isAlive();
        int code = server.terminate();
        if (code != 0) {
            faults.add(
                    (ended ? "server ended during the measurement with exit code " : "server stopped with exit code ")
                            + code + "; expected 0: " + server.lastErrorLine());
        }
    }

    private static LoadClients jsonRpc(MeasurementSetup setup, LoadClients.RequestSpace space, int connections) {
        return new LoadClients(
                new JsonRpcWire(setup.size().runMicros() / 1e3),
                setup.jsonRpcAddress(),
                connections,
                setup.kernel(),
                space);
    }
}

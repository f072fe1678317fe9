package wheatspread.lab;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Callable;
import org.json.JSONObject;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wheatspread.lab.report.Report;
import wheatspread.lab.settings.ServerMeasurement;
import wheatspread.lab.settings.SizeSeries;
import wheatspread.lab.settings.SizeSeries.Dimension;

/** One server with the platform's flags against the size of its settings and of what it has in hand. */
@Command(
        name = "settings",
        mixinStandardHelpOptions = true,
        description = "Starts one server with generated tenants and routes, and measures its start, its reloads under "
                + "load, and what it adds to a request against tenants, routes, held requests and connections. Ends "
                + "with 1 where a server did not start, a reload was lost, or an answer was late or lost.")
final class SettingsCommand implements Callable<Integer> {
    /** Of what is not measured against. */
    private static final int FEW_TENANTS = 10;

    private static final int FEW_ROUTES = 10;

    @Option(names = "--jar", defaultValue = "server/target/wheatspread.jar", description = "The server.")
    private Path jar;

    @Option(names = "--deploy", defaultValue = "deploy/balancer.toml", description = "Where the flags stand.")
    private Path deploy;

    @Option(
            names = "--parts",
            defaultValue = "tenants,routes,held,connections",
            split = ",",
            description = "What to measure against (${DEFAULT-VALUE}).")
    private Set<String> parts;

    @Option(
            names = "--tenants",
            defaultValue = "10,1000,10000,25000,50000,100000",
            split = ",",
            description = "Numbers of tenants (${DEFAULT-VALUE}).")
    private List<Integer> tenants;

    @Option(
            names = "--routes",
            defaultValue = "10,16000",
            split = ",",
            description = "Numbers of routes of the uwsgi front (${DEFAULT-VALUE}).")
    private List<Integer> routes;

    @Option(
            names = "--with-routes",
            defaultValue = "10",
            description = "Routes of the servers that are measured against tenants (${DEFAULT-VALUE}).")
    private int withRoutes;

    @Option(
            names = "--held",
            defaultValue = "10,100,300",
            split = ",",
            description = "Numbers of requests to keep open, most of them held (${DEFAULT-VALUE}).")
    private List<Integer> held;

    @Option(
            names = "--held-tenants",
            defaultValue = "1000",
            description = "Tenants of the server that holds requests (${DEFAULT-VALUE}).")
    private int heldTenants;

    @Option(
            names = "--connections",
            defaultValue = "10,300",
            split = ",",
            description = "Numbers of connections (${DEFAULT-VALUE}).")
    private List<Integer> connections;

    @Option(names = "--rate", defaultValue = "66", description = "Requests a second (${DEFAULT-VALUE}).")
    private double rate;

    @Option(names = "--seconds", defaultValue = "5", description = "How long a point is measured (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--reloads", defaultValue = "10", description = "SIGHUPs in a row (${DEFAULT-VALUE}).")
    private int reloads;

    @Option(names = "--seed", defaultValue = "1", description = "Draws what is asked (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--core", defaultValue = "1", description = "The core it runs on, -1 for any (${DEFAULT-VALUE}).")
    private int core;

    @Option(names = "--name", defaultValue = "settings", description = "The report's name (${DEFAULT-VALUE}).")
    private String name;

    @Option(names = "--out", defaultValue = "docs/measurements", description = "Where the report goes.")
    private Path out;

    private Report report;
    private boolean kept = true;

    @Override
    public Integer call() throws Exception {
        report = new Report(name);
        ServerMeasurement measurement =
                new ServerMeasurement(serve(), new ServerMeasurement.Load(rate, seconds * 1_000L, reloads, seed));
        measure(Dimension.TENANTS, tenants, size -> measurement.measureTenants(size, withRoutes));
        measure(Dimension.ROUTES, routes, size -> measurement.measureRoutes(FEW_TENANTS, size));
        measure(Dimension.HELD, held, size -> measurement.measureHeld(heldTenants, FEW_ROUTES, size));
        measure(
                Dimension.CONNECTIONS,
                connections,
                size -> measurement.measureConnections(FEW_TENANTS, FEW_ROUTES, size));
        report.write(out);
        return kept ? 0 : 1;
    }

    /** The platform's own line up to {@code serve}, on the core it is to have. */
    private List<String> serve() throws IOException {
        List<String> command = new ArrayList<>();
        if (core >= 0) {
            command.addAll(List.of("taskset", "-c", Integer.toString(core)));
        }
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(StartCommand.flags(deploy));
        command.addAll(List.of("-jar", jar.toString(), "serve"));
        return command;
    }

    /** The figures of one point. */
    private interface Measurement {
        JSONObject at(int size) throws IOException, InterruptedException;
    }

    private void measure(Dimension dimension, List<Integer> sizes, Measurement measurement)
            throws IOException, InterruptedException {
        String word = dimension.name().toLowerCase(Locale.ROOT);
        if (!parts.contains(word)) {
            return;
        }
        SizeSeries series = new SizeSeries(dimension);
        for (int size : sizes) {
            JSONObject figures = measurement.at(size);
            // the mean of what was held is less than what was open
            Object held = figures.optQuery("/held/held");
            series.add(held instanceof Number mean ? mean.doubleValue() : size, figures);
            kept = kept && figures.getJSONArray("faults").isEmpty();
            report.put(word + " " + size, figures);
            System.out.println(word + " " + size + " " + figures);
        }
        series.addTo(report);
    }
}

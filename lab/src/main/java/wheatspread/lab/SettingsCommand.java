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

/** Measures one server with the deployed JVM flags by the size of its settings and of its load. */
@Command(
        name = "settings",
        mixinStandardHelpOptions = true,
        description =
                "Starts a server with generated tenants and routes, and measures its start, its reloads under load, "
                        + "and the time that it adds to a request, by tenants, routes, held requests and connections; "
                        + "exits with 1 if a server did not start, a reload was lost, or an answer was late or lost.")
final class SettingsCommand implements Callable<Integer> {
    /** The number of tenants in the measurements by another quantity. */
    private static final int DEFAULT_TENANTS = 10;

    private static final int DEFAULT_ROUTES = 10;

    @Option(names = "--jar", defaultValue = "server/target/wheatspread.jar", description = "Jar of the server.")
    private Path jar;

    @Option(
            names = "--deploy",
            defaultValue = "deploy/balancer.toml",
            description = "Deploy file with the JVM flags of the server.")
    private Path deploy;

    @Option(
            names = "--parts",
            defaultValue = "tenants,routes,held,connections",
            split = ",",
            description = "Quantities to vary (${DEFAULT-VALUE}).")
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
            description = "Number of routes in the measurements by tenants (${DEFAULT-VALUE}).")
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
            description = "Number of tenants in the measurements by held requests (${DEFAULT-VALUE}).")
    private int heldTenants;

    @Option(
            names = "--connections",
            defaultValue = "10,300",
            split = ",",
            description = "Numbers of connections (${DEFAULT-VALUE}).")
    private List<Integer> connections;

    @Option(names = "--rate", defaultValue = "66", description = "Requests per second (${DEFAULT-VALUE}).")
    private double rate;

    @Option(
            names = "--seconds",
            defaultValue = "5",
            description = "Duration in seconds of the measurement of a point (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--reloads", defaultValue = "10", description = "Number of consecutive SIGHUPs (${DEFAULT-VALUE}).")
    private int reloads;

    @Option(names = "--seed", defaultValue = "1", description = "Seed of the drawn requests (${DEFAULT-VALUE}).")
    private long seed;

    @Option(
            names = "--core",
            defaultValue = "1",
            description = "CPU core of the server, -1 for any (${DEFAULT-VALUE}).")
    private int core;

    @Option(names = "--name", defaultValue = "settings", description = "Name of the report (${DEFAULT-VALUE}).")
    private String name;

    @Option(names = "--out", defaultValue = "docs/measurements", description = "Folder of the report.")
    private Path out;

    private Report report;
    private boolean passed = true;

    @Override
    public Integer call() throws Exception {
        report = new Report(name);
        ServerMeasurement measurement = new ServerMeasurement(
                serveCommand(), new ServerMeasurement.Load(rate, seconds * 1_000L, reloads, seed));
        measure(Dimension.TENANTS, tenants, size -> measurement.measureTenants(size, withRoutes));
        measure(Dimension.ROUTES, routes, size -> measurement.measureRoutes(DEFAULT_TENANTS, size));
        measure(Dimension.HELD, held, size -> measurement.measureHeld(heldTenants, DEFAULT_ROUTES, size));
        measure(
                Dimension.CONNECTIONS,
                connections,
                size -> measurement.measureConnections(DEFAULT_TENANTS, DEFAULT_ROUTES, size));
        report.write(out);
        return passed ? 0 : 1;
    }

    /** Returns the deployed command line up to {@code serve}, bound to the chosen core. */
    private List<String> serveCommand() throws IOException {
        List<String> command = new ArrayList<>();
        if (core >= 0) {
            command.addAll(List.of("taskset", "-c", Integer.toString(core)));
        }
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(DeployFile.flags(deploy));
        command.addAll(List.of("-jar", jar.toString(), "serve"));
        return command;
    }

    /** Measures the figures of one point. */
    private interface Measurement {
        JSONObject measure(int size) throws IOException, InterruptedException;
    }

    private void measure(Dimension dimension, List<Integer> sizes, Measurement measurement)
            throws IOException, InterruptedException {
        String dimensionName = dimension.name().toLowerCase(Locale.ROOT);
        if (!parts.contains(dimensionName)) {
            return;
        }
        SizeSeries series = new SizeSeries(dimension);
        for (int size : sizes) {
            JSONObject figures = measurement.measure(size);
            // plotted by the mean number of held requests, which is less than the number of open ones
            Object held = figures.optQuery("/held/held");
            series.add(held instanceof Number mean ? mean.doubleValue() : size, figures);
            passed = passed && figures.getJSONArray("faults").isEmpty();
            report.put(dimensionName + " " + size, figures);
            System.out.println(dimensionName + " " + size + " " + figures);
        }
        series.addTo(report);
    }
}

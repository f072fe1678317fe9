package wheatspread.lab;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wheatspread.lab.load.ConnectionHolderProcess;
import wheatspread.lab.load.LoadGenerator;
import wheatspread.lab.report.Report;
import wheatspread.lab.standins.ServerProcess;
import wheatspread.lab.standins.StandInServices;

/** Measures the cost of many idle connections and their effect on active ones. */
@Command(
        name = "idle",
        mixinStandardHelpOptions = true,
        description = {
            "Measures a server on one core under a steady load with many idle connections, against the same",
            "server without idle connections and, if --before is given, against the server of that jar."
        })
final class IdleCommand implements Callable<Integer> {
    private static final long RUN_MICROS = 15_000;
    private static final long CALL_MICROS = 5_000;
    private static final int IDLE_TIMEOUT_MS = 40_000;

    @Option(
            names = "--idle",
            defaultValue = "19000",
            description = "Number of idle connections of a server (${DEFAULT-VALUE}).")
    private int idle;

    @Option(
            names = "--rate",
            defaultValue = "150",
            description = "Requests per second of the steady load (${DEFAULT-VALUE}).")
    private double rate;

    @Option(
            names = "--seconds",
            defaultValue = "20",
            description = "Duration of each load in seconds (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--jar", defaultValue = "server/target/wheatspread.jar", description = "Jar of the server.")
    private Path jar;

    @Option(names = "--before", description = "Jar of a server to compare with.")
    private Path before;

    @Option(names = "--core", defaultValue = "2", description = "CPU core of the server (${DEFAULT-VALUE}).")
    private int core;

    @Option(names = "--transports", split = ",", defaultValue = "nio,epoll", description = "Transports to measure.")
    private List<String> transports;

    @Option(names = "--fronts", split = ",", defaultValue = "jsonrpc,uwsgi", description = "Fronts to measure.")
    private List<String> fronts;

    @Option(
            names = "--fleet",
            defaultValue = "0",
            description = "Also measures this number of servers with a sixth of 100,000 connections each.")
    private int fleet;

    @Option(names = "--out", defaultValue = "docs/measurements", description = "Folder of the report.")
    private Path out;

    private final Report report = new Report("idle-connections");

    @Override
    public Integer call() throws Exception {
        if (before != null) {
            report.put("before, jsonrpc", measure(before, null, false));
        }
        for (String transport : transports) {
            for (String front : fronts) {
                report.put(transport + ", " + front, measure(jar, transport, front.equals("uwsgi")));
            }
        }
        if (fleet > 0) {
            report.put("fleet of " + fleet, measureFleet());
        }
        report.write(out);
        plot();
        return 0;
    }

    /** Plots heap, latency, CPU use and lost requests of each server. */
    private void plot() throws IOException {
        Map<String, Map<String, Double>> series = new LinkedHashMap<>();
        for (String part : report.parts()) {
            JSONObject figures = report.get(part);
            if (figures.has("heap_per_connection")) {
                Map<String, Double> bars = new LinkedHashMap<>();
                bars.put("heap per connection, bytes", figures.getDouble("heap_per_connection"));
                bars.put(
                        "burst p99, ms",
                        figures.getJSONObject("burst").getJSONObject("load").getDouble("p99_ms"));
                bars.put("idle CPU, 0.01%", 1e4 * figures.getDouble("idle_loop_cpu"));
                bars.put(
                        "burst lost, 0.01%",
                        1e4
                                * (1
                                        - figures.getJSONObject("burst")
                                                .getJSONObject("load")
                                                .getDouble("in_wanted_time")));
                series.put(part, bars);
            }
        }
        Report.writeBarChart(
                out.resolve("idle-connections.png"),
                idle + " idle connections with " + (int) rate + " requests per second on one core",
                "",
                series);
    }

    private String operatorFile(String transport, boolean uwsgi) {
        JSONObject file = new JSONObject()
                .put("transport", transport)
                .put("report_s", 1)
                .put("connections", new JSONObject().put("idle_timeout_ms", IDLE_TIMEOUT_MS));
        if (uwsgi) {
            file.put(
                    "uwsgi",
                    new JSONObject()
                            .put("listen", "127.0.0.1:0")
                            .put("max_connections", idle)
                            .put("idle_timeout_ms", IDLE_TIMEOUT_MS)
                            .put("health_path", "/health")
                            .put(
                                    "defaults",
                                    new JSONObject()
                                            .put("tenant", "barangay-kitchens")
                                            .put("class", "search")
                                            .put("cpu_ms", 15)
                                            .put("ram_kb", 24)));
        }
        return file.toString();
    }

    private ServerProcess start(Path server, StandInServices standIns, String transport, boolean uwsgi, int cpuCore)
            throws IOException, InterruptedException {
        return new ServerProcess(
                server,
                Sites.config(standIns, idle + 900),
                transport == null ? null : operatorFile(transport, uwsgi),
                List.of(
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-XX:-UsePerfData",
                        "-Xlog:gc",
                        "-Xms192m",
                        "-Xmx192m",
                        "-XX:MaxDirectMemorySize=32m",
                        "-Dio.netty.allocator.type=unpooled",
                        "-Dio.netty.noPreferDirect=true"),
                cpuCore);
    }

    private JSONObject measure(Path server, String transport, boolean uwsgi) throws Exception {
        JSONObject figures = new JSONObject();
        try (StandInServices standIns = new StandInServices(RUN_MICROS, CALL_MICROS);
                ServerProcess process = start(server, standIns, transport, uwsgi, core)) {
            // the JSON-RPC front is bound last
            try (LoadGenerator load = new LoadGenerator(process.port(uwsgi ? 1 : 0), 8, rate);
                    ConnectionHolderProcess holder = new ConnectionHolderProcess(process.port(0), idle, uwsgi, 0)) {
                TimeUnit.SECONDS.sleep(1);
                load.run(10_000, 500); // lets the JVM compile the code
                double loopShareWithoutIdle = measureLoopShare(process, 5);
                LoadGenerator.Interval none = load.run(seconds * 1_000L, 1_000);
                long baseHeapBytes = process.liveBytes();
                long baseResidentKb = process.residentKb();
                figures.put("none_idle", none.figures()).put("none_idle_loop_cpu", loopShareWithoutIdle);
                figures.put("open", holder.execute("open"));
                figures.put("heap_per_connection", (process.liveBytes() - baseHeapBytes) / (double) idle);
                figures.put("resident_kb_per_connection", (process.residentKb() - baseResidentKb) / (double) idle);
                double loopShareWithIdle = measureLoopShare(process, 5);
                figures.put("idle_loop_cpu", loopShareWithIdle)
                        .put("idle_loop_cpu_over_none", loopShareWithIdle - loopShareWithoutIdle);
                LoadGenerator.Interval beside = load.run(seconds * 1_000L, 1_000);
                figures.put("beside_idle", beside.figures())
                        .put("p99_over_none", beside.percentile(99) / none.percentile(99));
                figures.put("burst", measureBurst(process, load, holder));
                if (transport != null) {
                    int skippedLogLines = process.log().size();
                    figures.put("expiry", holder.execute("closing"));
                    figures.put("expiry_longest_turn_us", longestTurnMicros(process.log(), skippedLogLines))
                            .put(
                                    "expiry_longest_collection_ms",
                                    longestCollectionMillis(process.log(), skippedLogLines));
                }
            }
            figures.put("left_by_itself", process.terminate());
            figures.put("log", lastLines(process.log(), 6));
        }
        System.out.println(
                (transport == null ? "before" : transport) + (uwsgi ? " uwsgi " : " jsonrpc ") + figures.toString(1));
        return figures;
    }

    /** All idle connections send a request at the same time, in the third of ten seconds of load. */
    private JSONObject measureBurst(ServerProcess process, LoadGenerator load, ConnectionHolderProcess holder)
            throws Exception {
        TimeUnit.SECONDS.sleep(6); // afterwards the connections no longer count as recently used
        int skippedLogLines = process.log().size();
        LoadGenerator.Interval during = load.beginInterval();
        TimeUnit.SECONDS.sleep(2);
        holder.sendCommand("burst");
        TimeUnit.SECONDS.sleep(8);
        load.pause();
        JSONObject figures = new JSONObject().put("sleepers", holder.readReport());
        TimeUnit.SECONDS.sleep(2);
        return figures.put("load", during.figures())
                .put("longest_turn_us", longestTurnMicros(process.log(), skippedLogLines))
                .put("longest_collection_ms", longestCollectionMillis(process.log(), skippedLogLines));
    }

    /** Measures the share of one core that the server's event loop uses. */
    private static double measureLoopShare(ServerProcess process, int seconds) throws Exception {
        TimeUnit.SECONDS.sleep(1);
        double beganMillis = process.eventLoopCpuMillis();
        TimeUnit.SECONDS.sleep(seconds);
        return (process.eventLoopCpuMillis() - beganMillis) / (seconds * 1_000.0);
    }

    private static long longestTurnMicros(List<String> log, int skippedLines) {
        return log.stream()
                .skip(skippedLines)
                .filter(line -> line.contains("longest_us"))
                .mapToLong(line -> Long.parseLong(line.replaceAll(".*longest_us (\\d+).*", "$1")))
                .max()
                .orElse(-1);
    }

    /** Returns the longest garbage collection pause, which is part of the event-loop turn in which it occurs. */
    private static double longestCollectionMillis(List<String> log, int skippedLines) {
        return log.stream()
                .skip(skippedLines)
                .filter(line -> line.contains("Pause Young"))
                .mapToDouble(line -> Double.parseDouble(line.replaceAll(".* ([\\d.]+)ms$", "$1")))
                .max()
                .orElse(0);
    }

    private static List<String> lastLines(List<String> log, int count) {
        return log.stream()
                .skip(Math.max(0, log.size() - count))
                .map(line -> line.replaceAll("^\\d+ ", ""))
                .toList();
    }

    /** Opens a sixth of 100,000 connections to each of several servers and lets all send at the same time. */
    private JSONObject measureFleet() throws Exception {
        int connectionsPerServer = 100_000 / 6;
        List<AutoCloseable> resources = new ArrayList<>();
        List<ConnectionHolderProcess> holders = new ArrayList<>();
        List<ServerProcess> servers = new ArrayList<>();
        JSONObject figures = new JSONObject();
        try {
            for (int i = 0; i < fleet; i++) {
                StandInServices standIns = new StandInServices(RUN_MICROS, CALL_MICROS);
                resources.add(standIns);
                ServerProcess process = start(jar, standIns, transports.get(transports.size() - 1), false, -1);
                resources.add(process);
                servers.add(process);
                ConnectionHolderProcess holder =
                        new ConnectionHolderProcess(process.port(0), connectionsPerServer, false, i * 200);
                resources.add(holder);
                holders.add(holder);
            }
            for (String command : List.of("open", "burst")) {
                if (command.equals("burst")) {
                    TimeUnit.SECONDS.sleep(6);
                }
                for (ConnectionHolderProcess holder : holders) {
                    holder.sendCommand(command);
                }
                List<JSONObject> results = new ArrayList<>();
                for (ConnectionHolderProcess holder : holders) {
                    results.add(holder.readReport());
                }
                figures.put(command, results);
            }
            for (ServerProcess process : servers) {
                figures.append("longest_turn_us", longestTurnMicros(process.log(), 0));
            }
        } finally {
            for (int i = resources.size() - 1; i >= 0; i--) {
                resources.get(i).close();
            }
        }
        System.out.println("fleet " + figures.toString(1));
        return figures;
    }
}

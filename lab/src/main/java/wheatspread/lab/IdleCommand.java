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

/** Many idle connections: what they cost, and what they take from those that ask. */
@Command(
        name = "idle",
        mixinStandardHelpOptions = true,
        description = {
            "Measures a server on one core with a crowd of idle connections beside a steady load, against the same",
            "server with none idle; and where a second jar is named, against that server too."
        })
final class IdleCommand implements Callable<Integer> {
    private static final long RUN_MICROS = 15_000;
    private static final long CALL_MICROS = 5_000;
    private static final int IDLE_MS = 40_000;

    @Option(
            names = "--idle",
            defaultValue = "19000",
            description = "Idle connections on one server (${DEFAULT-VALUE}).")
    private int idle;

    @Option(names = "--rate", defaultValue = "150", description = "Requests a second beside them (${DEFAULT-VALUE}).")
    private double rate;

    @Option(names = "--seconds", defaultValue = "20", description = "How long each load is played (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--jar", defaultValue = "server/target/wheatspread.jar", description = "The server.")
    private Path jar;

    @Option(names = "--before", description = "Another server's jar, measured beside it.")
    private Path before;

    @Option(names = "--core", defaultValue = "2", description = "The core a server runs on (${DEFAULT-VALUE}).")
    private int core;

    @Option(names = "--transports", split = ",", defaultValue = "nio,epoll", description = "Transports to measure.")
    private List<String> transports;

    @Option(names = "--fronts", split = ",", defaultValue = "jsonrpc,uwsgi", description = "Fronts to measure.")
    private List<String> fronts;

    @Option(names = "--fleet", defaultValue = "0", description = "Also so many servers with a sixth of 100,000 each.")
    private int fleet;

    @Option(names = "--out", defaultValue = "docs/measurements", description = "Where the report goes.")
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
            report.put("fleet of " + fleet, fleet());
        }
        report.write(out);
        plot();
        return 0;
    }

    /** Heap and p99 of each server beside the others. */
    private void plot() throws IOException {
        Map<String, Map<String, Double>> series = new LinkedHashMap<>();
        for (String part : report.parts()) {
            JSONObject figures = report.get(part);
            if (figures.has("heap_per_connection")) {
                Map<String, Double> bars = new LinkedHashMap<>();
                bars.put("heap each, bytes", figures.getDouble("heap_per_connection"));
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
        Report.bars(
                out.resolve("idle-connections.png"),
                idle + " idle connections beside " + (int) rate + " requests a second on one core",
                "",
                series);
    }

    private String operator(String transport, boolean uwsgi) {
        JSONObject file = new JSONObject()
                .put("transport", transport)
                .put("report_s", 1)
                .put("connections", new JSONObject().put("idle_timeout_ms", IDLE_MS));
        if (uwsgi) {
            file.put(
                    "uwsgi",
                    new JSONObject()
                            .put("listen", "127.0.0.1:0")
                            .put("max_connections", idle)
                            .put("idle_timeout_ms", IDLE_MS)
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

    private ServerProcess start(Path server, StandInServices parties, String transport, boolean uwsgi, int onCore)
            throws IOException, InterruptedException {
        return new ServerProcess(
                server,
                Sites.config(parties, idle + 900),
                transport == null ? null : operator(transport, uwsgi),
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
                onCore);
    }

    private JSONObject measure(Path server, String transport, boolean uwsgi) throws Exception {
        JSONObject figures = new JSONObject();
        try (StandInServices parties = new StandInServices(RUN_MICROS, CALL_MICROS);
                ServerProcess process = start(server, parties, transport, uwsgi, core)) {
            // the platform's front is bound last
            try (LoadGenerator load = new LoadGenerator(process.port(uwsgi ? 1 : 0), 8, rate);
                    ConnectionHolderProcess holder = new ConnectionHolderProcess(process.port(0), idle, uwsgi, 0)) {
                TimeUnit.SECONDS.sleep(1);
                load.run(10_000, 500); // the JVM compiles meanwhile
                double quiet = loopShare(process, 5);
                LoadGenerator.Interval none = load.run(seconds * 1_000L, 1_000);
                long emptyHeap = process.liveBytes();
                long emptyKb = process.residentKb();
                figures.put("none_idle", none.figures()).put("none_idle_loop_cpu", quiet);
                figures.put("open", holder.execute("open"));
                figures.put("heap_per_connection", (process.liveBytes() - emptyHeap) / (double) idle);
                figures.put("resident_kb_per_connection", (process.residentKb() - emptyKb) / (double) idle);
                double crowd = loopShare(process, 5);
                figures.put("idle_loop_cpu", crowd).put("idle_loop_cpu_over_none", crowd - quiet);
                LoadGenerator.Interval beside = load.run(seconds * 1_000L, 1_000);
                figures.put("beside_idle", beside.figures())
                        .put("p99_over_none", beside.percentile(99) / none.percentile(99));
                figures.put("burst", burst(process, load, holder));
                if (transport != null) {
                    int log = process.log().size();
                    figures.put("expiry", holder.execute("closing"));
                    figures.put("expiry_longest_turn_us", longest(process.log(), log))
                            .put("expiry_longest_collection_ms", longestCollection(process.log(), log));
                }
            }
            figures.put("left_by_itself", process.terminate());
            figures.put("log", last(process.log(), 6));
        }
        System.out.println(
                (transport == null ? "before" : transport) + (uwsgi ? " uwsgi " : " jsonrpc ") + figures.toString(1));
        return figures;
    }

    /** All send at once in the third second of ten seconds of load. */
    private JSONObject burst(ServerProcess process, LoadGenerator load, ConnectionHolderProcess holder)
            throws Exception {
        TimeUnit.SECONDS.sleep(6); // by now they are asleep
        int log = process.log().size();
        LoadGenerator.Interval during = load.beginInterval();
        TimeUnit.SECONDS.sleep(2);
        holder.sendCommand("burst");
        TimeUnit.SECONDS.sleep(8);
        load.pause();
        JSONObject figures = new JSONObject().put("sleepers", holder.readReport());
        TimeUnit.SECONDS.sleep(2);
        return figures.put("load", during.figures())
                .put("longest_turn_us", longest(process.log(), log))
                .put("longest_collection_ms", longestCollection(process.log(), log));
    }

    /** The share of one core that the server's event loop uses. */
    private static double loopShare(ServerProcess process, int seconds) throws Exception {
        TimeUnit.SECONDS.sleep(1);
        double began = process.eventLoopCpuMillis();
        TimeUnit.SECONDS.sleep(seconds);
        return (process.eventLoopCpuMillis() - began) / (seconds * 1_000.0);
    }

    private static long longest(List<String> log, int from) {
        return log.stream()
                .skip(from)
                .filter(line -> line.contains("longest_us"))
                .mapToLong(line -> Long.parseLong(line.replaceAll(".*longest_us (\\d+).*", "$1")))
                .max()
                .orElse(-1);
    }

    /** The longest pause for garbage collection, which is a part of the turn that it falls into. */
    private static double longestCollection(List<String> log, int from) {
        return log.stream()
                .skip(from)
                .filter(line -> line.contains("Pause Young"))
                .mapToDouble(line -> Double.parseDouble(line.replaceAll(".* ([\\d.]+)ms$", "$1")))
                .max()
                .orElse(0);
    }

    private static List<String> last(List<String> log, int count) {
        return log.stream()
                .skip(Math.max(0, log.size() - count))
                .map(line -> line.replaceAll("^\\d+ ", ""))
                .toList();
    }

    /** 100,000 connections over several servers, each with its own parties, all bursting at once. */
    private JSONObject fleet() throws Exception {
        int each = 100_000 / 6;
        List<AutoCloseable> open = new ArrayList<>();
        List<ConnectionHolderProcess> holders = new ArrayList<>();
        List<ServerProcess> servers = new ArrayList<>();
        JSONObject figures = new JSONObject();
        try {
            for (int i = 0; i < fleet; i++) {
                StandInServices parties = new StandInServices(RUN_MICROS, CALL_MICROS);
                open.add(parties);
                ServerProcess process = start(jar, parties, transports.get(transports.size() - 1), false, -1);
                open.add(process);
                servers.add(process);
                ConnectionHolderProcess holder = new ConnectionHolderProcess(process.port(0), each, false, i * 200);
                open.add(holder);
                holders.add(holder);
            }
            for (String word : List.of("open", "burst")) {
                if (word.equals("burst")) {
                    TimeUnit.SECONDS.sleep(6);
                }
                for (ConnectionHolderProcess holder : holders) {
                    holder.sendCommand(word);
                }
                List<JSONObject> all = new ArrayList<>();
                for (ConnectionHolderProcess holder : holders) {
                    all.add(holder.readReport());
                }
                figures.put(word, all);
            }
            for (ServerProcess process : servers) {
                figures.append("longest_turn_us", longest(process.log(), 0));
            }
        } finally {
            for (int i = open.size() - 1; i >= 0; i--) {
                open.get(i).close();
            }
        }
        System.out.println("fleet " + figures.toString(1));
        return figures;
    }
}

package wheatspread.lab;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wheatspread.lab.report.Report;
import wheatspread.lab.standins.ServerProcess;
import wheatspread.lab.standins.StandInServices;

/** Measures the cost of a server start with the deployed flags, optionally against another jar. */
@Command(
        name = "start",
        mixinStandardHelpOptions = true,
        description = "Starts servers with the deployed JVM flags and measures time, CPU and memory.")
final class StartCommand implements Callable<Integer> {
    @Option(names = "--jar", defaultValue = "server/target/wheatspread.jar", description = "Jar of the server.")
    private Path jar;

    @Option(names = "--before", description = "Jar of a server to compare with, started alternately.")
    private Path before;

    @Option(
            names = "--deploy",
            defaultValue = "deploy/balancer.toml",
            description = "Deploy file with the JVM flags of the server.")
    private Path deploy;

    @Option(
            names = "--before-deploy",
            description = "Deploy file with the JVM flags for --before; by default that of --deploy.")
    private Path beforeDeploy;

    @Option(
            names = "--half",
            description = "Runs a busy loop on the same core, which leaves half of the core to the server.")
    private boolean half;

    @Option(names = "--rounds", defaultValue = "7", description = "Number of starts of each server (${DEFAULT-VALUE}).")
    private int rounds;

    @Option(names = "--core", defaultValue = "2", description = "CPU core of the servers (${DEFAULT-VALUE}).")
    private int core;

    @Option(names = "--out", defaultValue = "docs/measurements", description = "Folder of the report.")
    private Path out;

    @Override
    public Integer call() throws Exception {
        List<String> flags = DeployFile.flags(deploy);
        List<JSONObject> starts = new ArrayList<>();
        List<JSONObject> startsBefore = new ArrayList<>();
        List<String> beforeFlags = beforeDeploy == null ? flags : DeployFile.flags(beforeDeploy);
        Process spinner = half
                ? new ProcessBuilder("taskset", "-c", Integer.toString(core), "sh", "-c", "while :; do :; done").start()
                : null;
        try {
            for (int i = 0; i < rounds; i++) {
                starts.add(start(jar, flags));
                if (before != null) {
                    startsBefore.add(start(before, beforeFlags));
                }
            }
        } finally {
            if (spinner != null) {
                spinner.destroyForcibly();
            }
        }
        Report report = new Report("start");
        report.put("now", medians(starts));
        if (before != null) {
            report.put("before", medians(startsBefore));
        }
        report.write(out);
        report.parts().forEach(part -> System.out.println(part + " " + report.get(part)));
        return 0;
    }

    private JSONObject start(Path server, List<String> flags) throws Exception {
        long beganNanos = System.nanoTime();
        try (StandInServices standIns = new StandInServices(15_000, 5_000);
                ServerProcess process = new ServerProcess(server, Sites.config(standIns, 512), null, flags, core)) {
            double servingMillis = (System.nanoTime() - beganNanos) / 1e6;
            double firstAnswerMillis = awaitFirstAnswerMillis(process.port(0), beganNanos);
            double cpuMillis = process.cpuMillis();
            TimeUnit.SECONDS.sleep(2);
            return new JSONObject()
                    .put("serving_after_ms", servingMillis)
                    .put("cpu_ms", cpuMillis)
                    .put("first_answer_ms", firstAnswerMillis)
                    .put("resident_kb", process.residentKb());
        }
    }

    /** Sends requests until one is served; returns the milliseconds since {@code beganNanos}. */
    private static double awaitFirstAnswerMillis(int port, long beganNanos) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(10_000);
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            for (int id = 1; id < 1_000; id++) {
                String line = Sites.request(
                        id,
                        Sites.KINDS.get(1),
                        Sites.TENANTS.get(0),
                        String.format("%016x", id),
                        System.currentTimeMillis());
                socket.getOutputStream().write(line.getBytes(StandardCharsets.UTF_8));
                if (in.readLine().contains("\"result\"")) {
                    return (System.nanoTime() - beganNanos) / 1e6;
                }
                TimeUnit.MILLISECONDS.sleep(10);
            }
        }
        throw new IOException("server on port " + port + " served none of 999 requests");
    }

    private static JSONObject medians(List<JSONObject> starts) {
        JSONObject medians = new JSONObject().put("starts", starts.size());
        for (String key : List.of("serving_after_ms", "first_answer_ms", "cpu_ms", "resident_kb")) {
            medians.put(
                    key,
                    starts.stream()
                            .mapToDouble(start -> start.getDouble(key))
                            .sorted()
                            .toArray()[starts.size() / 2]);
        }
        return medians;
    }
}

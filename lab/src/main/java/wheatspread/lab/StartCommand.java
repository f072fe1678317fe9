package wheatspread.lab;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.json.JSONObject;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wheatspread.lab.report.Report;
import wheatspread.lab.standins.ServerProcess;
import wheatspread.lab.standins.StandInServices;

/** What a start costs on the platform, beside another jar's. */
@Command(
        name = "start",
        mixinStandardHelpOptions = true,
        description = "Starts servers with the platform's flags, in turns, and measures time, CPU and memory.")
final class StartCommand implements Callable<Integer> {
    @Option(names = "--jar", defaultValue = "server/target/wheatspread.jar", description = "The server.")
    private Path jar;

    @Option(names = "--before", description = "Another server's jar, started in turns with it.")
    private Path before;

    @Option(names = "--deploy", defaultValue = "deploy/balancer.toml", description = "Where the flags stand.")
    private Path deploy;

    @Option(names = "--before-deploy", description = "Where the flags of the other jar stand; the same file.")
    private Path beforeDeploy;

    @Option(names = "--half", description = "Something else spins on the same core, so that half of it is left.")
    private boolean half;

    @Option(names = "--rounds", defaultValue = "7", description = "Starts of each (${DEFAULT-VALUE}).")
    private int rounds;

    @Option(names = "--core", defaultValue = "2", description = "The core they run on (${DEFAULT-VALUE}).")
    private int core;

    @Option(names = "--out", defaultValue = "docs/measurements", description = "Where the report goes.")
    private Path out;

    @Override
    public Integer call() throws Exception {
        List<String> flags = flags(deploy);
        List<JSONObject> after = new ArrayList<>();
        List<JSONObject> old = new ArrayList<>();
        List<String> oldFlags = beforeDeploy == null ? flags : flags(beforeDeploy);
        Process spinner = half
                ? new ProcessBuilder("taskset", "-c", Integer.toString(core), "sh", "-c", "while :; do :; done").start()
                : null;
        try {
            for (int i = 0; i < rounds; i++) {
                after.add(start(jar, flags));
                if (before != null) {
                    old.add(start(before, oldFlags));
                }
            }
        } finally {
            if (spinner != null) {
                spinner.destroyForcibly();
            }
        }
        Report report = new Report("start");
        report.put("now", medians(after));
        if (before != null) {
            report.put("before", medians(old));
        }
        report.write(out);
        report.parts().forEach(part -> System.out.println(part + " " + report.get(part)));
        return 0;
    }

    /** The flags of the platform's run line. */
    static List<String> flags(Path deploy) throws IOException {
        Matcher run = Pattern.compile("run = \"exec java (.*) -jar ").matcher(Files.readString(deploy));
        if (!run.find()) {
            throw new IOException(deploy + " has no run line with java's flags");
        }
        return List.of(run.group(1).split(" "));
    }

    private JSONObject start(Path server, List<String> flags) throws Exception {
        long began = System.nanoTime();
        try (StandInServices parties = new StandInServices(15_000, 5_000);
                ServerProcess process = new ServerProcess(server, Sites.config(parties, 512), null, flags, core)) {
            double wall = (System.nanoTime() - began) / 1e6;
            double answered = firstAnswer(process.port(0), began);
            double cpu = process.cpuMillis();
            TimeUnit.SECONDS.sleep(2);
            return new JSONObject()
                    .put("serving_after_ms", wall)
                    .put("cpu_ms", cpu)
                    .put("first_answer_ms", answered)
                    .put("resident_kb", process.residentKb());
        }
    }

    /** Asks until a request is served; milliseconds since the start. */
    private static double firstAnswer(int port, long began) throws Exception {
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
                    return (System.nanoTime() - began) / 1e6;
                }
                TimeUnit.MILLISECONDS.sleep(10);
            }
        }
        throw new IOException("nothing was served");
    }

    private static JSONObject medians(List<JSONObject> all) {
        JSONObject medians = new JSONObject().put("starts", all.size());
        for (String key : List.of("serving_after_ms", "first_answer_ms", "cpu_ms", "resident_kb")) {
            medians.put(
                    key,
                    all.stream().mapToDouble(one -> one.getDouble(key)).sorted().toArray()[all.size() / 2]);
        }
        return medians;
    }
}

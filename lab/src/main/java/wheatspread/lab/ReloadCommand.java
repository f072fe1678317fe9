package wheatspread.lab;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.json.JSONArray;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wheatspread.lab.report.Report;
import wheatspread.lab.rig.HandoverRun;
import wheatspread.lab.rig.ReloadRun;

/** Measures reloads with changed addresses, and the handover of a socket to a new process, under load. */
@Command(
        name = "reload",
        mixinStandardHelpOptions = true,
        description = "Changes the addresses of the services of six real servers under load while kernels are late or "
                + "cold and processes are stopped or starved, then hands the socket of a server over to a new "
                + "process while the old one drains or is killed, or the new one dies, and counts the broken "
                + "promises; takes a minute per seed.")
final class ReloadCommand implements Callable<Integer> {
    @Option(names = "--jar", defaultValue = "server/target/wheatspread.jar", description = "Jar of the server.")
    private Path jar;

    @Option(
            names = "--deploy",
            defaultValue = "deploy/balancer.toml",
            description = "Deploy file with the JVM flags of the server.")
    private Path deploy;

    @Option(
            names = "--rate",
            defaultValue = "60",
            description = "Requests per second to all servers (${DEFAULT-VALUE}).")
    private double rate;

    @Option(
            names = "--handover-rate",
            defaultValue = "12",
            description = "Requests per second to the server of the handover (${DEFAULT-VALUE}).")
    private double handoverRate;

    @Option(names = "--part", defaultValue = "all", description = "Part to run: all, reload or handover.")
    private String part;

    @Option(
            names = "--seed",
            defaultValue = "1,2,3,4,5",
            split = ",",
            description = "Seeds, with one run each (${DEFAULT-VALUE}).")
    private List<Long> seeds;

    @Option(names = "--out", defaultValue = "docs/measurements", description = "Folder of the report.")
    private Path out;

    @Override
    public Integer call() throws Exception {
        Report report = new Report(part.equals("all") ? "reload" : "reload-" + part);
        List<String> flags = DeployFile.flags(deploy);
        boolean passed = true;
        for (long seed : seeds) {
            if (!part.equals("handover")) {
                passed &= report(report, "reload, seed " + seed, new ReloadRun(jar, flags, rate).run(seed));
            }
            for (HandoverRun.End end : part.equals("reload") ? new HandoverRun.End[0] : HandoverRun.End.values()) {
                passed &= report(
                        report,
                        end.name().toLowerCase() + ", seed " + seed,
                        new HandoverRun(jar, flags, handoverRate).run(end, seed));
            }
        }
        report.write(out);
        return passed ? 0 : 1;
    }

    private static boolean report(Report report, String name, ReloadRun.Outcome outcome) {
        report.put(name, outcome.figures().put("faults", new JSONArray(outcome.violations())));
        System.out.println(name + " " + outcome.figures());
        return outcome.violations().isEmpty();
    }
}

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

/** Servers that are given new addresses, or followed by new processes on their socket, under load. */
@Command(
        name = "reload",
        mixinStandardHelpOptions = true,
        description = "Moves the parties below six real servers under load while kernels are late or cold and "
                + "processes are stopped or starved; then has one server's socket handed over to a new process while "
                + "the old one leaves or is killed, or the new one dies. Books every promise; a minute a seed.")
final class ReloadCommand implements Callable<Integer> {
    @Option(names = "--jar", defaultValue = "server/target/wheatspread.jar", description = "The server.")
    private Path jar;

    @Option(names = "--deploy", defaultValue = "deploy/balancer.toml", description = "Where the flags stand.")
    private Path deploy;

    @Option(names = "--rate", defaultValue = "60", description = "Requests a second for all (${DEFAULT-VALUE}).")
    private double rate;

    @Option(
            names = "--handover-rate",
            defaultValue = "12",
            description = "Requests a second for the one server (${DEFAULT-VALUE}).")
    private double handoverRate;

    @Option(names = "--part", defaultValue = "all", description = "all, reload or handover.")
    private String part;

    @Option(
            names = "--seed",
            defaultValue = "1,2,3,4,5",
            split = ",",
            description = "Plays one run a seed (${DEFAULT-VALUE}).")
    private List<Long> seeds;

    @Option(names = "--out", defaultValue = "docs/measurements", description = "Where the report goes.")
    private Path out;

    @Override
    public Integer call() throws Exception {
        Report report = new Report(part.equals("all") ? "reload" : "reload-" + part);
        List<String> flags = StartCommand.flags(deploy);
        boolean kept = true;
        for (long seed : seeds) {
            if (!part.equals("handover")) {
                kept &= tell(report, "reload, seed " + seed, new ReloadRun(jar, flags, rate).run(seed));
            }
            for (HandoverRun.End end : part.equals("reload") ? new HandoverRun.End[0] : HandoverRun.End.values()) {
                kept &= tell(
                        report,
                        end.name().toLowerCase() + ", seed " + seed,
                        new HandoverRun(jar, flags, handoverRate).run(end, seed));
            }
        }
        report.write(out);
        return kept ? 0 : 1;
    }

    private static boolean tell(Report report, String name, ReloadRun.Outcome outcome) {
        report.put(name, outcome.figures().put("faults", new JSONArray(outcome.violations())));
        System.out.println(name + " " + outcome.figures());
        return outcome.violations().isEmpty();
    }
}

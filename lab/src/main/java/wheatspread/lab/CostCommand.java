package wheatspread.lab;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.json.JSONObject;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wheatspread.lab.faults.CostRun;
import wheatspread.lab.report.Report;

/** What membership costs beside the load. */
@Command(
        name = "cost",
        mixinStandardHelpOptions = true,
        description = "Runs servers under load without membership and with it, in turn, and compares their "
                + "answers, processor time and memory. Wants a machine with nothing else on it.")
final class CostCommand implements Callable<Integer> {
    @Option(names = "--jar", defaultValue = "server/target/wheatspread.jar", description = "The server.")
    private Path jar;

    @Option(names = "--deploy", defaultValue = "deploy/balancer.toml", description = "Where the flags stand.")
    private Path deploy;

    @Option(names = "--servers", defaultValue = "20", description = "How many (${DEFAULT-VALUE}).")
    private int servers;

    @Option(names = "--rate", defaultValue = "170", description = "Requests a second (${DEFAULT-VALUE}).")
    private double rate;

    @Option(names = "--seconds", defaultValue = "60", description = "How long each (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--times", defaultValue = "3", description = "How often each (${DEFAULT-VALUE}).")
    private int times;

    @Option(names = "--report", paramLabel = "DIR", description = "Where a report goes; none without.")
    private Path out;

    @Override
    public Integer call() throws Exception {
        Report report = new Report("membership-cost");
        List<String> flags = StartCommand.flags(deploy);
        boolean kept = true;
        for (int i = 1; i <= times; i++) {
            for (boolean on : new boolean[] {false, true}) {
                JSONObject figures = new CostRun(jar, flags, servers, rate, seconds * 1_000L).run(on);
                String name = (on ? "with" : "without") + ", run " + i;
                report.put(name, figures);
                System.out.println(name + " " + figures);
                kept &= figures.getLong("broken") == 0;
            }
        }
        if (out != null) {
            report.write(out);
        }
        return kept ? 0 : 1;
    }
}

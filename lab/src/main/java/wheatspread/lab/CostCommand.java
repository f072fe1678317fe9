package wheatspread.lab;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.json.JSONObject;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wheatspread.lab.faults.CostRun;
import wheatspread.lab.report.Report;

/** Measures the cost of membership under load. */
@Command(
        name = "cost",
        mixinStandardHelpOptions = true,
        description = "Runs servers under load, alternately without and with membership, and compares their answers, "
                + "processor time and memory; run it on an otherwise idle machine.")
final class CostCommand implements Callable<Integer> {
    @Option(names = "--jar", defaultValue = "server/target/wheatspread.jar", description = "Jar of the server.")
    private Path jar;

    @Option(
            names = "--deploy",
            defaultValue = "deploy/balancer.toml",
            description = "Deploy file with the JVM flags of the server.")
    private Path deploy;

    @Option(names = "--servers", defaultValue = "20", description = "Number of servers (${DEFAULT-VALUE}).")
    private int servers;

    @Option(names = "--rate", defaultValue = "170", description = "Requests per second (${DEFAULT-VALUE}).")
    private double rate;

    @Option(
            names = "--seconds",
            defaultValue = "60",
            description = "Duration of each run in seconds (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(
            names = "--times",
            defaultValue = "3",
            description = "Number of runs without and with membership (${DEFAULT-VALUE}).")
    private int times;

    @Option(names = "--report", paramLabel = "DIR", description = "Folder of the report; without it none is written.")
    private Path out;

    @Override
    public Integer call() throws Exception {
        Report report = new Report("membership-cost");
        List<String> flags = DeployFile.flags(deploy);
        boolean passed = true;
        for (int i = 1; i <= times; i++) {
            for (boolean withMembership : new boolean[] {false, true}) {
                JSONObject figures = new CostRun(jar, flags, servers, rate, seconds * 1_000L).run(withMembership);
                String name = (withMembership ? "with" : "without") + ", run " + i;
                report.put(name, figures);
                System.out.println(name + " " + figures);
                passed &= figures.getLong("broken") == 0;
            }
        }
        if (out != null) {
            report.write(out);
        }
        return passed ? 0 : 1;
    }
}

package wheatspread.lab;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.json.JSONArray;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wheatspread.config.Fields;
import wheatspread.lab.faults.FaultsRun;
import wheatspread.lab.faults.Scenario;
import wheatspread.lab.report.Report;

/** Faults between the processes of a fleet. */
@Command(name = "faults", mixinStandardHelpOptions = true,
    description = "Starts a fleet of real servers with relays on every link between them, plays the faults "
        + "of each scenario, and checks what always has to hold and what the scenario expects.",
    exitCodeListHeading = "%nExit codes:%n", exitCodeList = {"0:All held.",
        "1:Something did not; it says what.", "64:A scenario is wrong; it names the key."})
final class FaultsCommand implements Callable<Integer> {
    private static final int USAGE = 64;

    @Parameters(arity = "1..*", paramLabel = "SCENARIO", description = "JSON with comments.")
    private List<Path> scenarios;
    @Option(names = "--jar", defaultValue = "server/target/wheatspread.jar", description = "The server.")
    private Path jar;
    @Option(names = "--deploy", defaultValue = "deploy/balancer.toml", description = "Where the flags stand.")
    private Path deploy;
    @Option(names = "--seed", defaultValue = "1", split = ",",
        description = "Plays one run a seed (${DEFAULT-VALUE}).")
    private List<Long> seeds;
    @Option(names = "--report", paramLabel = "DIR", description = "Where a report goes; none without.")
    private Path out;

    @Override
    public Integer call() throws Exception {
        Report report = new Report("faults");
        List<String> flags = StartCommand.flags(deploy);
        boolean held = true;
        for (Path file : scenarios) {
            for (long seed : seeds) {
                Scenario scenario;
                try {
                    scenario = Scenario.read(file, seed);
                } catch (Fields.BadValue e) {
                    e.faults().forEach(System.err::println);
                    return USAGE;
                }
                FaultsRun.Outcome outcome = new FaultsRun(jar, flags, scenario, seed).play();
                String name = file.getFileName() + ", seed " + seed;
                report.put(name, outcome.figures().put("faults", new JSONArray(outcome.faults())));
                System.out.println(name + " " + outcome.figures());
                held &= outcome.faults().isEmpty();
            }
        }
        if (out != null) {
            report.write(out);
        }
        return held ? 0 : 1;
    }
}

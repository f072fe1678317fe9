package wheatspread.lab;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.json.JSONArray;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wheatspread.config.JsonFields;
import wheatspread.lab.faults.FaultsRun;
import wheatspread.lab.faults.Scenario;
import wheatspread.lab.report.Report;

/** Faults between the processes of a fleet. */
@Command(
        name = "faults",
        mixinStandardHelpOptions = true,
        description = "Starts a fleet of real servers with relays on every link between them, plays the faults "
                + "of each scenario, and checks what always has to hold and what the scenario expects.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:All held.", "1:Something did not; it says what.", "64:A scenario is wrong; it names the key."
        })
final class FaultsCommand implements Callable<Integer> {
    private static final int USAGE = 64;

    @Parameters(arity = "1..*", paramLabel = "SCENARIO", description = "JSON with comments.")
    private List<Path> scenarios;

    @Option(names = "--jar", defaultValue = "server/target/wheatspread.jar", description = "The server.")
    private Path jar;

    @Option(names = "--deploy", defaultValue = "deploy/balancer.toml", description = "Where the flags stand.")
    private Path deploy;

    @Option(names = "--seed", defaultValue = "1", split = ",", description = "Plays one run a seed (${DEFAULT-VALUE}).")
    private List<Long> seeds;

    @Option(names = "--pairs", description = "Plays each two of the scenarios at once.")
    private boolean pairs;

    @Option(names = "--report", paramLabel = "DIR", description = "Where a report goes; none without.")
    private Path out;

    @Override
    public Integer call() throws Exception {
        Report report = new Report("faults");
        List<String> flags = StartCommand.flags(deploy);
        boolean held = true;
        for (long seed : seeds) {
            Map<String, Scenario> plays;
            try {
                plays = plays(scenarios, pairs, seed);
            } catch (JsonFields.InvalidValueException e) {
                e.messages().forEach(System.err::println);
                return USAGE;
            }
            for (Map.Entry<String, Scenario> one : plays.entrySet()) {
                FaultsRun.Outcome outcome = new FaultsRun(jar, flags, one.getValue(), seed).run();
                String name = one.getKey() + ", seed " + seed;
                report.put(name, outcome.figures().put("faults", new JSONArray(outcome.violations())));
                System.out.println(name + " " + outcome.figures());
                held &= outcome.violations().isEmpty();
            }
        }
        if (out != null) {
            report.write(out);
        }
        return held ? 0 : 1;
    }

    /** The scenarios by the names of their files; with {@code pairs} each two of them at once. */
    static Map<String, Scenario> plays(List<Path> files, boolean pairs, long seed) {
        Map<String, Scenario> alone = new LinkedHashMap<>();
        files.forEach(file -> alone.put(file.getFileName().toString().replace(".json", ""), Scenario.read(file, seed)));
        if (!pairs) {
            return alone;
        }
        Map<String, Scenario> both = new LinkedHashMap<>();
        alone.forEach((name, one) -> alone.forEach((other, another) -> {
            if (name.compareTo(other) < 0) {
                both.put(name + " and " + other, one.combinedWith(another));
            }
        }));
        return both;
    }
}

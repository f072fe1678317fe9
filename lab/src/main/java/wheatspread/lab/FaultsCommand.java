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

/** Injects faults between the processes of a fleet. */
@Command(
        name = "faults",
        mixinStandardHelpOptions = true,
        description = "Starts a fleet of real servers with a relay on every link, injects the faults of each "
                + "scenario, and checks the invariants and the scenario's expectations.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:No run violated a rule or expectation.",
            "1:A run violated a rule or expectation, which is printed.",
            "64:A scenario is invalid; the key is printed."
        })
final class FaultsCommand implements Callable<Integer> {
    private static final int USAGE_EXIT_CODE = 64;

    @Parameters(arity = "1..*", paramLabel = "SCENARIO", description = "Scenario files, in JSON with comments.")
    private List<Path> scenarios;

    @Option(names = "--jar", defaultValue = "server/target/wheatspread.jar", description = "Jar of the server.")
    private Path jar;

    @Option(
            names = "--deploy",
            defaultValue = "deploy/balancer.toml",
            description = "Deploy file with the JVM flags of the server.")
    private Path deploy;

    @Option(
            names = "--seed",
            defaultValue = "1",
            split = ",",
            description = "Seeds, with one run each (${DEFAULT-VALUE}).")
    private List<Long> seeds;

    @Option(names = "--pairs", description = "Combines each pair of scenarios in one run.")
    private boolean pairs;

    @Option(names = "--report", paramLabel = "DIR", description = "Folder of the report; without it none is written.")
    private Path out;

    @Override
    public Integer call() throws Exception {
        Report report = new Report("faults");
        List<String> flags = DeployFile.flags(deploy);
        boolean passed = true;
        for (long seed : seeds) {
            Map<String, Scenario> runs;
            try {
                runs = scenarios(scenarios, pairs, seed);
            } catch (JsonFields.InvalidValueException e) {
                e.messages().forEach(System.err::println);
                return USAGE_EXIT_CODE;
            }
            for (Map.Entry<String, Scenario> run : runs.entrySet()) {
                FaultsRun.Outcome outcome = new FaultsRun(jar, flags, run.getValue(), seed).run();
                String name = run.getKey() + ", seed " + seed;
                report.put(name, outcome.figures().put("faults", new JSONArray(outcome.violations())));
                System.out.println(name + " " + outcome.figures());
                passed &= outcome.violations().isEmpty();
            }
        }
        if (out != null) {
            report.write(out);
        }
        return passed ? 0 : 1;
    }

    /** Reads the scenarios, keyed by file name; with {@code pairs}, returns the combinations of each pair instead. */
    static Map<String, Scenario> scenarios(List<Path> files, boolean pairs, long seed) {
        Map<String, Scenario> single = new LinkedHashMap<>();
        files.forEach(
                file -> single.put(file.getFileName().toString().replace(".json", ""), Scenario.read(file, seed)));
        if (!pairs) {
            return single;
        }
        Map<String, Scenario> combined = new LinkedHashMap<>();
        single.forEach((name, scenario) -> single.forEach((otherName, otherScenario) -> {
            if (name.compareTo(otherName) < 0) {
                combined.put(name + " and " + otherName, scenario.combinedWith(otherScenario));
            }
        }));
        return combined;
    }
}

package wheatspread.lab;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.json.JSONArray;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wheatspread.config.JsonFields;
import wheatspread.lab.faults.Scenario;
import wheatspread.lab.model.CapacitySweep;
import wheatspread.lab.model.ModelRun;
import wheatspread.lab.model.ModelSweep;
import wheatspread.lab.report.Report;
import wheatspread.membership.DetectorSettings;

/** Simulates a fleet's membership on virtual time. */
@Command(
        name = "model",
        mixinStandardHelpOptions = true,
        description = "Simulates scenarios of faults on virtual time in one JVM with the membership code of the "
                + "server, reproducibly for each seed.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:No run violated a rule or expectation.",
            "1:A run violated a rule or expectation, which is printed.",
            "64:A scenario is invalid; the key is printed."
        })
final class ModelCommand implements Callable<Integer> {
    private static final int USAGE_EXIT_CODE = 64;

    @Parameters(arity = "0..*", paramLabel = "SCENARIO", description = "Scenario files, in JSON with comments.")
    private List<Path> scenarios = List.of();

    @Option(
            names = "--sweep",
            paramLabel = "SIZE",
            split = ",",
            description = "Also simulates a crash in fleets of these sizes and message loss with three detectors, "
                    + "and plots the results if --report is given.")
    private List<Integer> sweep = List.of();

    @Option(
            names = "--capacity",
            paramLabel = "SIZE",
            split = ",",
            description = "Also simulates fleets of these sizes, each over 30, in the situations of the capacity page.")
    private List<Integer> capacity = List.of();

    @Option(names = "--situations", split = ",", description = "Situations of --capacity: ${COMPLETION-CANDIDATES}.")
    private List<CapacitySweep.Situation> situations = List.of(CapacitySweep.Situation.values());

    @Option(
            names = "--limit-s",
            defaultValue = "240",
            description = "Wall-clock limit in seconds of a run of --capacity (${DEFAULT-VALUE}).")
    private int limitSeconds;

    @Option(names = "--name", defaultValue = "model", description = "Name of the report (${DEFAULT-VALUE}).")
    private String name;

    @Option(
            names = "--seed",
            defaultValue = "1",
            split = ",",
            description = "Seeds, with one run each (${DEFAULT-VALUE}).")
    private List<Long> seeds;

    @Option(
            names = "--detector",
            defaultValue = "usual",
            description = "Failure detector: usual, suspicious (SWIM with suspicions of fixed length) or plain (SWIM "
                    + "without suspicion).")
    private String detector;

    @Option(names = "--pairs", description = "Combines each pair of scenarios in one run.")
    private boolean pairs;

    @Option(names = "--report", paramLabel = "DIR", description = "Folder of the report; without it none is written.")
    private Path out;

    @Override
    public Integer call() throws Exception {
        DetectorSettings settings = Map.of(
                        "usual",
                        DetectorSettings.DEFAULT,
                        "suspicious",
                        DetectorSettings.DEFAULT.withFixedSuspicion(),
                        "plain",
                        DetectorSettings.DEFAULT.withoutSuspicion())
                .get(detector);
        if (settings == null) {
            System.err.println("unknown --detector " + detector + "; expected usual, suspicious or plain");
            return USAGE_EXIT_CODE;
        }
        Report report = new Report(name);
        boolean passed = true;
        for (long seed : seeds) {
            Map<String, Scenario> runs;
            try {
                runs = FaultsCommand.scenarios(scenarios, pairs, seed);
            } catch (JsonFields.InvalidValueException e) {
                e.messages().forEach(System.err::println);
                return USAGE_EXIT_CODE;
            }
            for (Map.Entry<String, Scenario> run : runs.entrySet()) {
                ModelRun.Outcome outcome = new ModelRun(run.getValue(), settings, seed).simulate();
                String part = run.getKey() + ", " + detector + ", seed " + seed;
                report.put(part, outcome.figures().put("faults", new JSONArray(outcome.faults())));
                System.out.println(part + " " + outcome.figures());
                passed &= outcome.faults().isEmpty();
            }
        }
        if (!sweep.isEmpty()) {
            passed &= new ModelSweep(report, seeds.get(0)).run(sweep, out);
        }
        if (!capacity.isEmpty()) {
            new CapacitySweep(report, seeds.get(0), Duration.ofSeconds(limitSeconds), out).run(situations, capacity);
        }
        if (out != null) {
            report.write(out);
        }
        return passed ? 0 : 1;
    }
}

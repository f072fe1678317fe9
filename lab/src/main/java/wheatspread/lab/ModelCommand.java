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

/** The fleet's decisions on virtual time. */
@Command(
        name = "model",
        mixinStandardHelpOptions = true,
        description = "Plays scenarios of faults on virtual time in one JVM, with the decision code of the "
                + "program. A run is the same each time for its seed.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:All held.", "1:Something did not; it says what.", "64:A scenario is wrong; it names the key."
        })
final class ModelCommand implements Callable<Integer> {
    private static final int USAGE = 64;

    @Parameters(arity = "0..*", paramLabel = "SCENARIO", description = "JSON with comments.")
    private List<Path> scenarios = List.of();

    @Option(
            names = "--sweep",
            paramLabel = "SIZE",
            split = ",",
            description = "Fleets of these sizes with a crash, and losses of messages with three detectors; with "
                    + "--report also plots.")
    private List<Integer> sweep = List.of();

    @Option(
            names = "--capacity",
            paramLabel = "SIZE",
            split = ",",
            description = "Fleets of these sizes, over 30, in each situation of the capacity page.")
    private List<Integer> capacity = List.of();

    @Option(names = "--situations", split = ",", description = "Only these of --capacity: ${COMPLETION-CANDIDATES}.")
    private List<CapacitySweep.Situation> situations = List.of(CapacitySweep.Situation.values());

    @Option(
            names = "--limit-s",
            defaultValue = "240",
            description = "A run of --capacity is stopped after so long by the wall clock (${DEFAULT-VALUE}).")
    private int limitSeconds;

    @Option(names = "--name", defaultValue = "model", description = "The report's name (${DEFAULT-VALUE}).")
    private String name;

    @Option(names = "--seed", defaultValue = "1", split = ",", description = "Plays one run a seed (${DEFAULT-VALUE}).")
    private List<Long> seeds;

    @Option(
            names = "--detector",
            defaultValue = "usual",
            description = "usual, suspicious (SWIM with suspicions of one length) or plain (SWIM without).")
    private String detector;

    @Option(names = "--pairs", description = "Plays each two of the scenarios at once.")
    private boolean pairs;

    @Option(names = "--report", paramLabel = "DIR", description = "Where a report goes; none without.")
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
            System.err.println("--detector is " + detector + "; allowed are usual, suspicious and plain");
            return USAGE;
        }
        Report report = new Report(name);
        boolean held = true;
        for (long seed : seeds) {
            Map<String, Scenario> plays;
            try {
                plays = FaultsCommand.plays(scenarios, pairs, seed);
            } catch (JsonFields.InvalidValueException e) {
                e.messages().forEach(System.err::println);
                return USAGE;
            }
            for (Map.Entry<String, Scenario> one : plays.entrySet()) {
                ModelRun.Outcome outcome = new ModelRun(one.getValue(), settings, seed).simulate();
                String played = one.getKey() + ", " + detector + ", seed " + seed;
                report.put(played, outcome.figures().put("faults", new JSONArray(outcome.faults())));
                System.out.println(played + " " + outcome.figures());
                held &= outcome.faults().isEmpty();
            }
        }
        if (!sweep.isEmpty()) {
            held &= new ModelSweep(report, seeds.get(0)).run(sweep, out);
        }
        if (!capacity.isEmpty()) {
            new CapacitySweep(report, seeds.get(0), Duration.ofSeconds(limitSeconds), out).run(situations, capacity);
        }
        if (out != null) {
            report.write(out);
        }
        return held ? 0 : 1;
    }
}

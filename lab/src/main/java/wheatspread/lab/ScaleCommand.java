package wheatspread.lab;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import org.json.JSONObject;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wheatspread.lab.report.Report;
import wheatspread.lab.report.Series;
import wheatspread.lab.scale.FaultKind;
import wheatspread.lab.scale.HollowCheck;
import wheatspread.lab.scale.Preflight;
import wheatspread.lab.scale.ScaleSettings;
import wheatspread.lab.scale.ScaleStep;

/** Measures membership at the sizes of planned installations. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description = "Forms fleets of hollow servers (only membership, many in a process) and some real servers "
                + "under load, injects faults, and reports the cost of membership per member at each size; run it "
                + "on an otherwise idle machine.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:Measured; the report also names fleets that reached no common view in time.",
            "64:The command line is invalid.",
            "69:This machine cannot run the fleet, for the reason printed; nothing was started."
        })
final class ScaleCommand implements Callable<Integer> {
    private static final int USAGE_EXIT_CODE = 64;
    private static final int UNAVAILABLE_EXIT_CODE = 69;
    /** Requests per second to each real server, 60% of the capacity of its stand-in kernel. */
    private static final double REQUESTS_PER_S_PER_REAL_SERVER = 12;
    /** The remaining time that is required to begin a step or check. */
    private static final Duration MIN_REMAINING_TIME = Duration.ofSeconds(90);

    @Option(names = "--jar", defaultValue = "server/target/wheatspread.jar", description = "Jar of the server.")
    private Path jar;

    @Option(
            names = "--deploy",
            defaultValue = "deploy/balancer.toml",
            description = "Deploy file with the JVM flags of the server.")
    private Path deploy;

    @Option(
            names = "--steps",
            defaultValue = "100,350,700,1400",
            split = ",",
            description =
                    "Numbers of hollow servers, one for each fleet, measured from the largest (${DEFAULT-VALUE}).")
    private List<Integer> steps;

    @Option(
            names = "--real",
            defaultValue = "8",
            description = "Number of real servers in each fleet (${DEFAULT-VALUE}).")
    private int real;

    @Option(names = "--rate", description = "Requests per second to all real servers together (12 for each).")
    private Double rate;

    @Option(names = "--seed", defaultValue = "1", description = "Seed of all random draws (${DEFAULT-VALUE}).")
    private long seed;

    @Option(
            names = "--faults",
            split = ",",
            description = "Faults to inject, of ${COMPLETION-CANDIDATES}.",
            completionCandidates = FaultNames.class)
    private List<String> faults;

    @Option(
            names = "--batch",
            defaultValue = "0",
            description = "Number of hollow servers that start at the same time while a fleet forms "
                    + "(${DEFAULT-VALUE}); 0 for all.")
    private int batch;

    @Option(
            names = "--check",
            defaultValue = "20",
            description = "Number of servers in the fleets that compare hollow with real servers "
                    + "(${DEFAULT-VALUE}); 0 for no comparison.")
    private int check;

    @Option(names = "--limit-minutes", defaultValue = "15", description = "Time limit in minutes (${DEFAULT-VALUE}).")
    private int limitMinutes;

    @Option(names = "--report", paramLabel = "DIR", description = "Folder of the report; without it none is written.")
    private Path out;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** The names of the faults, for the help text. */
    static final class FaultNames extends ArrayList<String> {
        private static final long serialVersionUID = 1L;

        FaultNames() {
            super(FaultKind.optionNames());
        }
    }

    @Override
    public Integer call() throws Exception {
        Instant beginTime = Instant.now();
        Set<FaultKind> chosen = EnumSet.allOf(FaultKind.class);
        try {
            checkFleetSizes();
            if (faults != null) {
                chosen = faults.stream()
                        .map(FaultKind::fromOptionName)
                        .collect(Collectors.toCollection(() -> EnumSet.noneOf(FaultKind.class)));
            }
        } catch (IllegalArgumentException e) {
            System.err.println(e.getMessage());
            return USAGE_EXIT_CODE;
        }
        String refusal = Preflight.refusal(Collections.max(steps), real);
        if (refusal == null && check > 0) {
            refusal = Preflight.refusal(0, check);
        }
        if (refusal != null) {
            System.err.println(refusal);
            return UNAVAILABLE_EXIT_CODE;
        }
        double requestsPerSecond = rate == null ? REQUESTS_PER_S_PER_REAL_SERVER * real : rate;
        Report report = new Report("scale");
        measure(
                new ScaleSettings(jar, DeployFile.flags(deploy), real, requestsPerSecond, seed, batch, chosen),
                beginTime.plus(Duration.ofMinutes(limitMinutes)),
                report);
        JSONObject run = new JSONObject()
                .put("seed", seed)
                .put("seconds", Duration.between(beginTime, Instant.now()).toSeconds());
        report.put("run", run);
        progress("run " + run);
        if (out != null) {
            report.write(out);
        }
        return 0;
    }

    private void checkFleetSizes() {
        if (real < 1 || Collections.min(steps) < real) {
            throw new IllegalArgumentException(
                    "--real is " + real + " and the smallest of --steps is " + Collections.min(steps)
                            + "; expected one or more real servers, and no fewer hollow than real servers in a fleet");
        }
    }

    private void measure(ScaleSettings settings, Instant deadline, Report report) throws Exception {
        Map<String, Map<Integer, Double>> points = new LinkedHashMap<>();
        List<Integer> sizes = new ArrayList<>(steps);
        sizes.sort(Collections.reverseOrder());
        int largest = sizes.get(0);
        for (int hollow : sizes) {
            if (Instant.now().plus(MIN_REMAINING_TIME).isAfter(deadline)) {
                progress(hollow + " hollow servers: skipped, because less than " + MIN_REMAINING_TIME.toSeconds()
                        + " s remain until the time limit");
                report.put("step " + hollow, new JSONObject().put("skipped", "no time is left"));
                continue;
            }
            ScaleStep.Result result =
                    new ScaleStep(settings, hollow, hollow == largest, deadline, ScaleCommand::progress).run();
            report.put("step " + hollow, result.figures());
            result.points()
                    .forEach((name, value) ->
                            points.computeIfAbsent(name, key -> new TreeMap<>()).put(result.members(), value));
        }
        points.forEach((name, values) -> report.add(new Series(
                name,
                ScaleStep.unit(name),
                "members",
                values.entrySet().stream()
                        .map(point -> new Series.Point(point.getKey(), point.getValue()))
                        .toList())));
        if (check > 0 && Instant.now().plus(MIN_REMAINING_TIME).isBefore(deadline)) {
            JSONObject checked = new HollowCheck(settings, check).run();
            report.put("hollow beside real", checked);
            progress("hollow beside real: " + checked);
        }
    }

    private static void progress(String line) {
        System.out.println(line);
    }
}

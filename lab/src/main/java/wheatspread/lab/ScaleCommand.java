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

/** Membership at the size that operators plan with. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description = "Forms fleets of hollow servers (membership alone, many to a process) with some real servers "
                + "under load among them, plays faults, and reports what membership costs a member at each size. "
                + "Wants a machine with nothing else on it.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:It was measured. A fleet that comes to no view in time is a finding of the report.",
            "64:The command line is wrong.",
            "69:This machine cannot carry the fleet; one line says why. Nothing was started."
        })
final class ScaleCommand implements Callable<Integer> {
    private static final int USAGE = 64;
    private static final int UNAVAILABLE = 69;
    /** Requests a second of each real server: 60% of what the stand-in of its kernel can run. */
    private static final double RATE_OF_REAL = 12;
    /** No step or check is begun with less time than this left. */
    private static final Duration LEAST = Duration.ofSeconds(90);

    @Option(names = "--jar", defaultValue = "server/target/wheatspread.jar", description = "The server.")
    private Path jar;

    @Option(names = "--deploy", defaultValue = "deploy/balancer.toml", description = "Where the flags stand.")
    private Path deploy;

    @Option(
            names = "--steps",
            defaultValue = "100,350,700,1400",
            split = ",",
            description = "Hollow servers of each fleet, the largest fleet is played first (${DEFAULT-VALUE}).")
    private List<Integer> steps;

    @Option(names = "--real", defaultValue = "8", description = "Real servers in each fleet (${DEFAULT-VALUE}).")
    private int real;

    @Option(names = "--rate", description = "Requests a second for all real servers together (12 for each).")
    private Double rate;

    @Option(names = "--seed", defaultValue = "1", description = "Of all random draws (${DEFAULT-VALUE}).")
    private long seed;

    @Option(
            names = "--faults",
            split = ",",
            description = "Which are played; known are ${COMPLETION-CANDIDATES}.",
            completionCandidates = FaultWords.class)
    private List<String> faults;

    @Option(
            names = "--batch",
            defaultValue = "0",
            description = "Hollow servers that are started at once while a fleet is formed (${DEFAULT-VALUE}); "
                    + "0 for all.")
    private int batch;

    @Option(
            names = "--check",
            defaultValue = "20",
            description = "Servers of the fleets in which hollow servers are checked against real ones "
                    + "(${DEFAULT-VALUE}); 0 for no check.")
    private int check;

    @Option(names = "--limit-minutes", defaultValue = "15", description = "When to end (${DEFAULT-VALUE}).")
    private int limitMinutes;

    @Option(names = "--report", paramLabel = "DIR", description = "Where a report goes; none without.")
    private Path out;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** The names of the faults, for help. */
    static final class FaultWords extends ArrayList<String> {
        private static final long serialVersionUID = 1L;

        FaultWords() {
            super(FaultKind.optionNames());
        }
    }

    @Override
    public Integer call() throws Exception {
        Instant begun = Instant.now();
        Set<FaultKind> chosen = EnumSet.allOf(FaultKind.class);
        try {
            check();
            if (faults != null) {
                chosen = faults.stream()
                        .map(FaultKind::fromOptionName)
                        .collect(Collectors.toCollection(() -> EnumSet.noneOf(FaultKind.class)));
            }
        } catch (IllegalArgumentException e) {
            System.err.println(e.getMessage());
            return USAGE;
        }
        String refusal = Preflight.refusal(Collections.max(steps), real);
        if (refusal == null && check > 0) {
            refusal = Preflight.refusal(0, check);
        }
        if (refusal != null) {
            System.err.println(refusal);
            return UNAVAILABLE;
        }
        double perSecond = rate == null ? RATE_OF_REAL * real : rate;
        Report report = new Report("scale");
        play(
                new ScaleSettings(jar, StartCommand.flags(deploy), real, perSecond, seed, batch, chosen),
                begun.plus(Duration.ofMinutes(limitMinutes)),
                report);
        JSONObject run = new JSONObject()
                .put("seed", seed)
                .put("seconds", Duration.between(begun, Instant.now()).toSeconds());
        report.put("run", run);
        progress("run " + run);
        if (out != null) {
            report.write(out);
        }
        return 0;
    }

    private void check() {
        if (real < 1 || Collections.min(steps) < real) {
            throw new IllegalArgumentException(
                    "a fleet has at least one real server, and no fewer hollow ones than real ones");
        }
    }

    private void play(ScaleSettings settings, Instant deadline, Report report) throws Exception {
        Map<String, Map<Integer, Double>> points = new LinkedHashMap<>();
        List<Integer> sizes = new ArrayList<>(steps);
        sizes.sort(Collections.reverseOrder());
        int largest = sizes.get(0);
        for (int hollow : sizes) {
            if (Instant.now().plus(LEAST).isAfter(deadline)) {
                progress(hollow + " hollow: skipped, no time is left");
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
                        .map(one -> new Series.Point(one.getKey(), one.getValue()))
                        .toList())));
        if (check > 0 && Instant.now().plus(LEAST).isBefore(deadline)) {
            JSONObject checked = new HollowCheck(settings, check).run();
            report.put("hollow beside real", checked);
            progress("hollow beside real: " + checked);
        }
    }

    private static void progress(String line) {
        System.out.println(line);
    }
}

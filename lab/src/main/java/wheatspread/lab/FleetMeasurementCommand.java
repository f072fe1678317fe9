package wheatspread.lab;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.json.JSONArray;
import org.json.JSONObject;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wheatspread.lab.fleet.FleetRoll;
import wheatspread.lab.fleet.FleetRoll.Action;
import wheatspread.lab.report.Report;

/** A fleet of real processes that is rolled, killed at and lied to, beside the same fleet left alone. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description = "Rolls a fleet of servers under load and books every promise; some minutes.")
final class FleetMeasurementCommand implements Callable<Integer> {
    @Option(names = "--jar", defaultValue = "server/target/wheatspread.jar", description = "The server.")
    private Path jar;

    @Option(names = "--deploy", defaultValue = "deploy/balancer.toml", description = "Where the flags stand.")
    private Path deploy;

    @Option(names = "--size", defaultValue = "20", description = "Servers (${DEFAULT-VALUE}).")
    private int size;

    @Option(names = "--rate", defaultValue = "170", description = "Requests a second (${DEFAULT-VALUE}).")
    private double rate;

    @Option(names = "--share", defaultValue = "0.85", description = "Of the fleet to roll (${DEFAULT-VALUE}).")
    private double share;

    @Option(names = "--seconds", defaultValue = "45", description = "Of load in a run (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--deed", description = "Only these: ${COMPLETION-CANDIDATES}.")
    private List<Action> deeds = List.of(Action.values());

    @Option(names = "--unproven", description = "Successors need no proof, so that more of them are cold at once.")
    private boolean unproven;

    @Option(names = "--name", defaultValue = "fleet", description = "Of the report (${DEFAULT-VALUE}).")
    private String name;

    @Option(names = "--out", defaultValue = "docs/measurements", description = "Where the report goes.")
    private Path out;

    @Override
    public Integer call() throws Exception {
        JSONObject rolling = new JSONObject()
                .put("out_share", 0.2)
                .put("proven_answers", 5)
                .put("proven_ms", 500)
                .put("patience_ms", 1_500);
        if (unproven) {
            rolling.put("proven_answers", 0).put("proven_ms", 0).put("patience_ms", 0);
        }
        FleetRoll fleet = new FleetRoll(jar, StartCommand.flags(deploy), size, rate, rolling);
        Report report = new Report(name);
        Map<String, double[]> worth = new LinkedHashMap<>();
        long broken = 0;
        double alone = 0;
        for (Action deed : deeds) {
            String part = deed.name().toLowerCase();
            FleetRoll.Outcome outcome = fleet.run(deed, share, 6_000, seconds * 1_000L);
            JSONObject figures = outcome.figures();
            alone = deed == Action.NOTHING ? figures.getDouble("worth_served") : alone;
            if (alone > 0) {
                figures.put("worth_beside_nothing", figures.getDouble("worth_served") / alone);
            }
            report.put(part, figures.put("faults", new JSONArray(outcome.violations())));
            worth.put(part, outcome.servedValueBySecond());
            broken += figures.getLong("broken_promises");
            System.out.println(part + " " + figures);
        }
        report.write(out);
        Report.lines(
                out.resolve(name + ".png"),
                "Worth served in the wanted time, by second of asking",
                "seconds",
                "of what was asked",
                worth);
        return broken == 0 ? 0 : 1;
    }
}

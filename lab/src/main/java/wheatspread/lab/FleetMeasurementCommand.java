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

/** Measures rollouts of a fleet of real processes with kills and failing builds, against a fleet without changes. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description =
                "Rolls out builds to a fleet of servers under load and counts the broken promises; takes some minutes.")
final class FleetMeasurementCommand implements Callable<Integer> {
    @Option(names = "--jar", defaultValue = "server/target/wheatspread.jar", description = "Jar of the server.")
    private Path jar;

    @Option(
            names = "--deploy",
            defaultValue = "deploy/balancer.toml",
            description = "Deploy file with the JVM flags of the server.")
    private Path deploy;

    @Option(names = "--size", defaultValue = "20", description = "Number of servers (${DEFAULT-VALUE}).")
    private int size;

    @Option(names = "--rate", defaultValue = "170", description = "Requests per second (${DEFAULT-VALUE}).")
    private double rate;

    @Option(
            names = "--share",
            defaultValue = "0.85",
            description = "Share of the fleet in the rollout (${DEFAULT-VALUE}).")
    private double share;

    @Option(
            names = "--seconds",
            defaultValue = "45",
            description = "Duration of the load of a run in seconds (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--deed", description = "Runs to measure: ${COMPLETION-CANDIDATES}.")
    private List<Action> deeds = List.of(Action.values());

    @Option(
            names = "--unproven",
            description = "Skips the verification of new instances, so that more of them are cold at the same time.")
    private boolean unproven;

    @Option(names = "--name", defaultValue = "fleet", description = "Name of the report (${DEFAULT-VALUE}).")
    private String name;

    @Option(names = "--out", defaultValue = "docs/measurements", description = "Folder of the report.")
    private Path out;

    @Override
    public Integer call() throws Exception {
        JSONObject rolloutSettings = new JSONObject()
                .put("out_share", 0.2)
                .put("proven_answers", 5)
                .put("proven_ms", 500)
                .put("patience_ms", 1_500);
        if (unproven) {
            rolloutSettings.put("proven_answers", 0).put("proven_ms", 0).put("patience_ms", 0);
        }
        FleetRoll fleet = new FleetRoll(jar, DeployFile.flags(deploy), size, rate, rolloutSettings);
        Report report = new Report(name);
        Map<String, double[]> valueSharesBySecond = new LinkedHashMap<>();
        long brokenPromises = 0;
        double servedWithoutRollout = 0;
        for (Action deed : deeds) {
            String part = deed.name().toLowerCase();
            FleetRoll.Outcome outcome = fleet.run(deed, share, 6_000, seconds * 1_000L);
            JSONObject figures = outcome.figures();
            servedWithoutRollout = deed == Action.NOTHING ? figures.getDouble("worth_served") : servedWithoutRollout;
            if (servedWithoutRollout > 0) {
                figures.put("worth_beside_nothing", figures.getDouble("worth_served") / servedWithoutRollout);
            }
            report.put(part, figures.put("faults", new JSONArray(outcome.violations())));
            valueSharesBySecond.put(part, outcome.servedValueBySecond());
            brokenPromises += figures.getLong("broken_promises");
            System.out.println(part + " " + figures);
        }
        report.write(out);
        Report.writeLineChart(
                out.resolve(name + ".png"),
                "Value served within the latency objective, by second of arrival",
                "seconds",
                "share of the requested value",
                valueSharesBySecond);
        return brokenPromises == 0 ? 0 : 1;
    }
}

package wheatspread.lab.model;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.json.JSONArray;
import wheatspread.lab.faults.Fault;
import wheatspread.lab.faults.Scenario;
import wheatspread.lab.report.Report;
import wheatspread.membership.DetectorSettings;

/**
 * Simulates crashes in fleets of several sizes to measure detection time and traffic, and message loss to count the
 * healthy members that are removed. The loss runs compare the default detector with plain SWIM, without suspicion and
 * with suspicions of fixed length, both of which are settings of the same code.
 */
public final class ModelSweep {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long CRASH_RUN_MICROS = 20 * MICROS_PER_SECOND;
    private static final long LOSS_RUN_MICROS = 180 * MICROS_PER_SECOND;
    private static final int LOSS_FLEET_MEMBERS = 100;
    private static final double[] LOSS_SHARES = {0, 0.05, 0.2, 0.4};
    private static final double MICROS_PER_HOUR = 3_600e6;

    private final Report report;
    private final long seed;

    public ModelSweep(Report report, long seed) {
        this.report = report;
        this.seed = seed;
    }

    /** Returns whether all crash runs met their expectations; writes plots to {@code out} unless it is null. */
    public boolean run(List<Integer> sizes, Path out) throws IOException {
        boolean passed = true;
        Map<String, Double> detectionMillis = new LinkedHashMap<>();
        Map<String, Double> bytesPerSecond = new LinkedHashMap<>();
        Map<String, double[]> messagesPerSecond = new LinkedHashMap<>();
        for (int size : sizes) {
            ModelRun.Outcome outcome = new ModelRun(crash(size), DetectorSettings.DEFAULT, seed).simulate();
            passed &= report("crash in a fleet of " + size, outcome);
            detectionMillis.put(size + "", outcome.figures().getDouble("converged_ms"));
            bytesPerSecond.put(size + "", outcome.figures().getDouble("bytes_per_member_s"));
            messagesPerSecond.put(size + " members", perSecond(outcome.seconds(), size));
        }
        Map<String, Map<String, Double>> wrongRemovalsPerHour = new TreeMap<>();
        for (Map.Entry<String, DetectorSettings> detector : detectors().entrySet()) {
            for (double loss : LOSS_SHARES) {
                ModelRun.Outcome outcome = new ModelRun(loss(loss), detector.getValue(), seed).simulate();
                double removalsPerHour =
                        outcome.figures().getDouble("missed_alive") * MICROS_PER_HOUR / LOSS_RUN_MICROS;
                outcome.figures().put("wrong_removals_per_h", removalsPerHour);
                report(detector.getKey() + ", loss " + loss, outcome);
                wrongRemovalsPerHour
                        .computeIfAbsent(detector.getKey(), key -> new LinkedHashMap<>())
                        .put(Math.round(loss * 100) + "%", removalsPerHour);
            }
        }
        if (out != null) {
            Files.createDirectories(out);
            Report.writeBarChart(
                    out.resolve("membership-detect.png"),
                    "Time from a crash to a common view",
                    "ms",
                    Map.of("usual settings", detectionMillis));
            Report.writeBarChart(
                    out.resolve("membership-bytes.png"),
                    "Traffic sent by each member",
                    "bytes per second",
                    Map.of("usual settings", bytesPerSecond));
            Report.writeLineChart(
                    out.resolve("membership-messages.png"),
                    "Messages sent by each member, with a crash at 5 s",
                    "s",
                    "messages per second",
                    messagesPerSecond);
            Report.writeBarChart(
                    out.resolve("membership-wrong.png"),
                    "Healthy members removed, fleet of " + LOSS_FLEET_MEMBERS,
                    "members per hour",
                    wrongRemovalsPerHour);
        }
        return passed;
    }

    private boolean report(String name, ModelRun.Outcome outcome) {
        report.put(name, outcome.figures().put("faults", new JSONArray(outcome.faults())));
        System.out.println(name + " " + outcome.figures());
        return outcome.faults().isEmpty();
    }

    private static Map<String, DetectorSettings> detectors() {
        Map<String, DetectorSettings> detectors = new LinkedHashMap<>();
        detectors.put("usual", DetectorSettings.DEFAULT);
        detectors.put("SWIM with suspicion", DetectorSettings.DEFAULT.withFixedSuspicion());
        detectors.put("SWIM without", DetectorSettings.DEFAULT.withoutSuspicion());
        return detectors;
    }

    private static double[] perSecond(List<double[]> seconds, int size) {
        double[] perMember = new double[seconds.size()];
        for (int i = 0; i < perMember.length; i++) {
            perMember[i] = i == 0 ? Double.NaN : (seconds.get(i)[0] - seconds.get(i - 1)[0]) / size;
        }
        return perMember;
    }

    private static Map<String, String> members(int size) {
        Map<String, String> zones = new LinkedHashMap<>();
        for (int i = 1; i <= size; i++) {
            zones.put("m" + i, "");
        }
        return zones;
    }

    private static Scenario crash(int size) {
        Fault crash =
                new Fault(Fault.Kind.KILL, 5 * MICROS_PER_SECOND, 0, Set.of(), Set.of(), Set.of("m" + size), 1, 1);
        return new Scenario(
                members(size),
                Math.min(3, size),
                0,
                CRASH_RUN_MICROS,
                List.of(crash),
                new Scenario.Expectation(1, -1, 5 * MICROS_PER_SECOND, Set.of("m" + size)));
    }

    private static Scenario loss(double share) {
        Map<String, String> zones = members(LOSS_FLEET_MEMBERS);
        Fault loss = new Fault(Fault.Kind.LOSS, 0, LOSS_RUN_MICROS, zones.keySet(), zones.keySet(), Set.of(), share, 1);
        return new Scenario(
                zones,
                3,
                0,
                LOSS_RUN_MICROS + 20 * MICROS_PER_SECOND,
                List.of(loss),
                new Scenario.Expectation(-1, -1, 20 * MICROS_PER_SECOND, null));
    }
}

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
 * How time to detect and load go with the size of a fleet, and how many healthy members are taken out at
 * losses of messages, beside plain SWIM without suspicion and with it as settings of the same code.
 */
public final class ModelSweep {
    private static final long SECOND = 1_000_000;
    private static final long CRASH_RUN = 20 * SECOND;
    private static final long LOSS_RUN = 180 * SECOND;
    private static final int LOSS_FLEET = 100;
    private static final double[] LOSSES = {0, 0.05, 0.2, 0.4};
    private static final double HOUR = 3_600e6;

    private final Report report;
    private final long seed;

    public ModelSweep(Report report, long seed) {
        this.report = report;
        this.seed = seed;
    }

    /** Returns whether no run broke what always has to hold; plots go to {@code out} unless it is null. */
    public boolean play(List<Integer> sizes, Path out) throws IOException {
        boolean held = true;
        Map<String, Double> detect = new LinkedHashMap<>();
        Map<String, Double> bytes = new LinkedHashMap<>();
        Map<String, double[]> messages = new LinkedHashMap<>();
        for (int size : sizes) {
            ModelRun.Outcome outcome = new ModelRun(crash(size), DetectorSettings.DEFAULT, seed).play();
            held &= tell("crash in a fleet of " + size, outcome);
            detect.put(size + "", outcome.figures().getDouble("converged_ms"));
            bytes.put(size + "", outcome.figures().getDouble("bytes_per_member_s"));
            messages.put(size + " members", perSecond(outcome.seconds(), size));
        }
        Map<String, Map<String, Double>> wrong = new TreeMap<>();
        for (Map.Entry<String, DetectorSettings> detector : detectors().entrySet()) {
            for (double loss : LOSSES) {
                ModelRun.Outcome outcome = new ModelRun(loss(loss), detector.getValue(), seed).play();
                double hourly = outcome.figures().getDouble("missed_alive") * HOUR / LOSS_RUN;
                outcome.figures().put("wrong_removals_per_h", hourly);
                tell(detector.getKey() + ", loss " + loss, outcome);
                wrong.computeIfAbsent(detector.getKey(), none -> new LinkedHashMap<>())
                        .put(Math.round(loss * 100) + "%", hourly);
            }
        }
        if (out != null) {
            Files.createDirectories(out);
            Report.bars(
                    out.resolve("membership-detect.png"),
                    "From a crash to one view on all",
                    "ms",
                    Map.of("usual settings", detect));
            Report.bars(
                    out.resolve("membership-bytes.png"),
                    "Sent by each member",
                    "bytes a second",
                    Map.of("usual settings", bytes));
            Report.lines(
                    out.resolve("membership-messages.png"),
                    "Messages of each member round a crash at 5 s",
                    "s",
                    "messages a second",
                    messages);
            Report.bars(
                    out.resolve("membership-wrong.png"),
                    "Healthy members taken out, fleet of " + LOSS_FLEET,
                    "an hour",
                    wrong);
        }
        return held;
    }

    private boolean tell(String name, ModelRun.Outcome outcome) {
        report.put(name, outcome.figures().put("faults", new JSONArray(outcome.faults())));
        System.out.println(name + " " + outcome.figures());
        return outcome.faults().isEmpty();
    }

    private static Map<String, DetectorSettings> detectors() {
        Map<String, DetectorSettings> all = new LinkedHashMap<>();
        all.put("usual", DetectorSettings.DEFAULT);
        all.put("SWIM with suspicion", DetectorSettings.DEFAULT.withFixedSuspicion());
        all.put("SWIM without", DetectorSettings.DEFAULT.withoutSuspicion());
        return all;
    }

    private static double[] perSecond(List<double[]> seconds, int size) {
        double[] each = new double[seconds.size()];
        for (int i = 0; i < each.length; i++) {
            each[i] = i == 0 ? Double.NaN : (seconds.get(i)[0] - seconds.get(i - 1)[0]) / size;
        }
        return each;
    }

    private static Map<String, String> members(int size) {
        Map<String, String> zones = new LinkedHashMap<>();
        for (int i = 1; i <= size; i++) {
            zones.put("m" + i, "");
        }
        return zones;
    }

    private static Scenario crash(int size) {
        Fault crash = new Fault(Fault.Kind.KILL, 5 * SECOND, 0, Set.of(), Set.of(), Set.of("m" + size), 1, 1);
        return new Scenario(
                members(size),
                Math.min(3, size),
                0,
                CRASH_RUN,
                List.of(crash),
                new Scenario.Expectation(1, -1, 5 * SECOND, Set.of("m" + size)));
    }

    private static Scenario loss(double share) {
        Map<String, String> zones = members(LOSS_FLEET);
        Fault loss = new Fault(Fault.Kind.LOSS, 0, LOSS_RUN, zones.keySet(), zones.keySet(), Set.of(), share, 1);
        return new Scenario(
                zones,
                3,
                0,
                LOSS_RUN + 20 * SECOND,
                List.of(loss),
                new Scenario.Expectation(-1, -1, 20 * SECOND, null));
    }
}

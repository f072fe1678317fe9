package wheatspread.lab.model;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.json.JSONArray;
import org.json.JSONObject;
import wheatspread.lab.faults.Fault;
import wheatspread.lab.faults.Scenario;
import wheatspread.lab.report.Report;
import wheatspread.lab.report.Series;
import wheatspread.membership.DetectorSettings;

/**
 * Simulates the situations of the capacity page at several sizes on virtual time and reports one series per figure.
 * A run that exceeds the wall-clock limit is stopped and reported as not finished, and its situation is not simulated
 * at larger sizes.
 */
public final class CapacitySweep {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long FAULT_BEGIN_MICROS = 5 * MICROS_PER_SECOND;
    private static final int ZONES = 8;
    private static final int SEEDS = 3;
    /** The number of servers behind one switch. */
    private static final int RACK_SERVERS = 30;

    private static final double LOSS_SHARE = 0.2;
    /** Restarts per member and second on an ordinary day: 2,300 a day among 1,400 servers. */
    private static final double RESTARTS_PER_MEMBER_SECOND = 2_300.0 / 1_400 / 86_400;
    /** Factor on the daily rate, without which a run of one minute would contain no restarts. */
    private static final int RESTART_SPEEDUP = 60;

    private final Report report;
    private final long seed;
    private final Duration limit;
    private final Path folder;

    /** A figure of a run, with the name prefix and the unit of its series. */
    private enum Figure {
        BYTES("bytes_per_s", "bytes/s"),
        MESSAGES("messages_per_s", "messages/s"),
        VIEW("view_s", "s"),
        VIEW_BYTES("view_bytes", "bytes"),
        WRONGLY_REMOVED("wrongly_removed", "members");

        private final String prefix;
        private final String unit;

        Figure(String prefix, String unit) {
            this.prefix = prefix;
            this.unit = unit;
        }

        /** Reads the value from a run's figures; without a common view, VIEW is the time waited, a lower bound. */
        private double valueIn(JSONObject figures) {
            return switch (this) {
                case VIEW_BYTES -> figures.getDouble("view_bytes");
                case BYTES -> figures.getDouble("bytes_per_member_s");
                case MESSAGES -> figures.getDouble("messages_per_member_s");
                case VIEW ->
                    figures.getDouble("converged_ms") < 0
                            ? figures.getDouble("waited_s")
                            : figures.getDouble("converged_ms") / 1_000;
                case WRONGLY_REMOVED -> figures.getDouble("missed_alive");
            };
        }
    }

    /** The faults of a run, with the run's length. */
    public enum Situation {
        IDLE(30),
        CRASH(20),
        RACK(20),
        LOSS20(30),
        HALVES(40),
        RESTARTS_X60(60),
        ZONE(30);

        private final long runMicros;

        Situation(int seconds) {
            runMicros = seconds * MICROS_PER_SECOND;
        }

        private String suffix() {
            return name().toLowerCase();
        }

        private Set<Figure> figures() {
            return switch (this) {
                case IDLE -> EnumSet.of(Figure.BYTES, Figure.MESSAGES, Figure.VIEW_BYTES);
                case CRASH, RACK, ZONE -> EnumSet.of(Figure.BYTES, Figure.VIEW);
                case HALVES -> EnumSet.of(Figure.BYTES, Figure.VIEW, Figure.WRONGLY_REMOVED);
                case LOSS20, RESTARTS_X60 -> EnumSet.of(Figure.BYTES, Figure.WRONGLY_REMOVED);
            };
        }

        private Scenario scenario(int size) {
            Map<String, String> zones = zones(size);
            List<String> names = List.copyOf(zones.keySet());
            List<Fault> faults = switch (this) {
                case IDLE -> List.of();
                case CRASH -> List.of(kill(names.subList(size - 1, size)));
                case RACK -> List.of(kill(names.subList(size - RACK_SERVERS, size)));
                case ZONE -> List.of(kill(names.subList(size - size / ZONES, size)));
                case LOSS20 -> List.of(links(Fault.Kind.LOSS, 0, runMicros, names, names, LOSS_SHARE));
                case HALVES -> halves(names);
                case RESTARTS_X60 -> restarts(names, runMicros);
            };
            return new Scenario(
                    zones,
                    Math.min(SEEDS, size),
                    0,
                    runMicros,
                    faults,
                    new Scenario.Expectation(-1, -1, runMicros, null));
        }
    }

    /**
     * @param limit the wall-clock limit of one run
     * @param folder the folder to which the report is written after each situation, so that a stopped sweep leaves a
     *     partial report; null writes no report
     */
    public CapacitySweep(Report report, long seed, Duration limit, Path folder) {
        this.report = report;
        this.seed = seed;
        this.limit = limit;
        this.folder = folder;
    }

    /** Simulates the situations at these sizes, smallest first; each size exceeds {@value #RACK_SERVERS} members. */
    public void run(List<Situation> situations, List<Integer> sizes) throws IOException {
        for (Situation situation : situations) {
            run(situation, sizes.stream().sorted().toList());
            if (folder != null) {
                report.write(folder);
            }
        }
    }

    private void run(Situation situation, List<Integer> sizes) {
        Map<Figure, List<Series.Point>> points = new EnumMap<>(Figure.class);
        situation.figures().forEach(figure -> points.put(figure, new ArrayList<>()));
        boolean finished = true;
        for (int size : sizes) {
            String part = situation.suffix() + ", " + size + " members";
            if (!finished) {
                report.put(part, new JSONObject().put("not_run", "a smaller fleet took longer than " + limit));
                continue;
            }
            Scenario scenario = situation.scenario(size);
            ModelRun.Outcome outcome = new ModelRun(scenario, DetectorSettings.DEFAULT, seed)
                    .limitWallTime(limit)
                    .simulate();
            JSONObject figures = outcome.figures();
            int removedMembers = figures.getJSONArray("missed").length();
            figures.put("faults", new JSONArray(outcome.faults()))
                    .put("missed", removedMembers)
                    .put("run_s", situation.runMicros / MICROS_PER_SECOND)
                    .put(
                            "waited_s",
                            (situation.runMicros - scenario.lastFaultEndMicros()) / (double) MICROS_PER_SECOND);
            report.put(part, figures);
            System.out.println(part + " " + figures);
            finished = outcome.finished();
            if (finished) {
                points.forEach((figure, measured) -> measured.add(new Series.Point(size, figure.valueIn(figures))));
            }
        }
        points.forEach((figure, measured) -> report.add(
                new Series("model." + figure.prefix + "_" + situation.suffix(), figure.unit, "members", measured)));
    }

    private static Map<String, String> zones(int size) {
        Map<String, String> zones = new LinkedHashMap<>();
        for (int i = 0; i < size; i++) {
            zones.put("m" + (i + 1), "z" + i * ZONES / size);
        }
        return zones;
    }

    private static Fault kill(List<String> names) {
        return new Fault(Fault.Kind.KILL, FAULT_BEGIN_MICROS, 0, Set.of(), Set.of(), new LinkedHashSet<>(names), 1, 1);
    }

    private static Fault links(
            Fault.Kind kind, long beginMicros, long durationMicros, List<String> from, List<String> to, double share) {
        return new Fault(
                kind,
                beginMicros,
                durationMicros,
                new LinkedHashSet<>(from),
                new LinkedHashSet<>(to),
                Set.of(),
                share,
                1);
    }

    /** Cuts all links between the two halves of the fleet for 15 s. */
    private static List<Fault> halves(List<String> names) {
        List<String> firstHalf = names.subList(0, names.size() / 2);
        List<String> secondHalf = names.subList(names.size() / 2, names.size());
        return List.of(
                links(Fault.Kind.CUT, FAULT_BEGIN_MICROS, 15 * MICROS_PER_SECOND, firstHalf, secondHalf, 1),
                links(Fault.Kind.CUT, FAULT_BEGIN_MICROS, 15 * MICROS_PER_SECOND, secondHalf, firstHalf, 1));
    }

    /** Returns single restarts at equal intervals, spread over the zones, with none in the last ten seconds. */
    private static List<Fault> restarts(List<String> names, long runMicros) {
        List<Fault> restarts = new ArrayList<>();
        double perSecond = RESTARTS_PER_MEMBER_SECOND * RESTART_SPEEDUP * names.size();
        long endMicros = runMicros - 10 * MICROS_PER_SECOND;
        int number = 0;
        for (double timeMicros = MICROS_PER_SECOND;
                timeMicros < endMicros;
                timeMicros += MICROS_PER_SECOND / perSecond) {
            String name = names.get((int) ((long) number++ * names.size() / ZONES + number) % names.size());
            restarts.add(
                    new Fault(Fault.Kind.RESTART, Math.round(timeMicros), 0, Set.of(), Set.of(), Set.of(name), 1, 1));
        }
        return restarts;
    }
}

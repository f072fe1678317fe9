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
 * Plays the situations of the capacity page at several sizes on virtual time and reports one series per figure.
 * A run that takes longer than a limit on the wall clock is stopped, reported as not finished, and its situation
 * is not played at larger sizes.
 */
public final class CapacitySweep {
    private static final long SECOND = 1_000_000;
    private static final long FAULT_BEGIN = 5 * SECOND;
    private static final int ZONES = 8;
    private static final int SEEDS = 3;
    /** Servers behind one switch. */
    private static final int RACK_SERVERS = 30;

    private static final double LOSS = 0.2;
    /** Restarts a member and second on an ordinary day: 2,300 a day among 1,400 servers. */
    private static final double DAILY_RESTARTS = 2_300.0 / 1_400 / 86_400;
    /** The daily rate is played so many times faster, so that a run of a minute holds restarts. */
    private static final int RESTART_SPEEDUP = 60;

    private final Report report;
    private final long seed;
    private final Duration limit;
    private final Path folder;

    /** A figure of a run, with the begin of the name and the unit of its series. */
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

        /** The figure; of a run that came to no common view, the time waited for it, which is a lower bound. */
        private double of(JSONObject figures) {
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

    /** What befalls the fleet in a run. */
    public enum Situation {
        IDLE(30),
        CRASH(20),
        RACK(20),
        LOSS20(30),
        HALVES(40),
        RESTARTS_X60(60),
        ZONE(30);

        private final long run;

        Situation(int seconds) {
            run = seconds * SECOND;
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
                case LOSS20 -> List.of(links(Fault.Kind.LOSS, 0, run, names, names, LOSS));
                case HALVES -> halves(names);
                case RESTARTS_X60 -> restarts(names, run);
            };
            return new Scenario(
                    zones, Math.min(SEEDS, size), 0, run, faults, new Scenario.Expectation(-1, -1, run, null));
        }
    }

    /**
     * @param limit on the wall clock, for one run
     * @param folder where the report goes after each situation, for what a stopped sweep leaves; null for none
     */
    public CapacitySweep(Report report, long seed, Duration limit, Path folder) {
        this.report = report;
        this.seed = seed;
        this.limit = limit;
        this.folder = folder;
    }

    /** Plays situations at these sizes, smallest first; sizes are more than {@value #RACK_SERVERS} members. */
    public void play(List<Situation> situations, List<Integer> sizes) throws IOException {
        for (Situation situation : situations) {
            play(situation, sizes.stream().sorted().toList());
            if (folder != null) {
                report.write(folder);
            }
        }
    }

    private void play(Situation situation, List<Integer> sizes) {
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
                    .limit(limit)
                    .play();
            JSONObject figures = outcome.figures();
            int missed = figures.getJSONArray("missed").length();
            figures.put("faults", new JSONArray(outcome.faults()))
                    .put("missed", missed)
                    .put("run_s", situation.run / SECOND)
                    .put("waited_s", (situation.run - scenario.lastFaultEndMicros()) / (double) SECOND);
            report.put(part, figures);
            System.out.println(part + " " + figures);
            finished = outcome.finished();
            if (finished) {
                points.forEach((figure, measured) -> measured.add(new Series.Point(size, figure.of(figures))));
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
        return new Fault(Fault.Kind.KILL, FAULT_BEGIN, 0, Set.of(), Set.of(), new LinkedHashSet<>(names), 1, 1);
    }

    private static Fault links(
            Fault.Kind kind, long begin, long lasts, List<String> from, List<String> to, double share) {
        return new Fault(kind, begin, lasts, new LinkedHashSet<>(from), new LinkedHashSet<>(to), Set.of(), share, 1);
    }

    /** Neither half hears the other for 15 s. */
    private static List<Fault> halves(List<String> names) {
        List<String> one = names.subList(0, names.size() / 2);
        List<String> other = names.subList(names.size() / 2, names.size());
        return List.of(
                links(Fault.Kind.CUT, FAULT_BEGIN, 15 * SECOND, one, other, 1),
                links(Fault.Kind.CUT, FAULT_BEGIN, 15 * SECOND, other, one, 1));
    }

    /** Single restarts at equal distances, spread over the zones, none in the last ten seconds. */
    private static List<Fault> restarts(List<String> names, long run) {
        List<Fault> restarts = new ArrayList<>();
        double perSecond = DAILY_RESTARTS * RESTART_SPEEDUP * names.size();
        long end = run - 10 * SECOND;
        int number = 0;
        for (double at = SECOND; at < end; at += SECOND / perSecond) {
            String name = names.get((int) ((long) number++ * names.size() / ZONES + number) % names.size());
            restarts.add(new Fault(Fault.Kind.RESTART, Math.round(at), 0, Set.of(), Set.of(), Set.of(name), 1, 1));
        }
        return restarts;
    }
}

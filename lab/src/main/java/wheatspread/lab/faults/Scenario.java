package wheatspread.lab.faults;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import wheatspread.config.JsonFields;
import wheatspread.config.JsonFile;

/**
 * A fleet, its load, and what befalls it; read from a file, with the targets drawn by a seed. Times are
 * microseconds here.
 *
 * @param zones by member
 * @param seedCount how many of the members, from the first on, are seeds
 * @param loadPerSecond requests a second for all
 */
public record Scenario(
        Map<String, String> zones,
        int seedCount,
        double loadPerSecond,
        long runMicros,
        List<Fault> faults,
        Expectation expect) {
    private static final int MOST_SECONDS = 3_600;
    /** Two faults at once may keep somebody out for a while who came and went twice. */
    private static final long PAIR_CONVERGED = 60_000_000;

    /**
     * What has to come of it, besides what always has to.
     *
     * @param maxViews from the begin of the run; -1 for any
     * @param finalMembers in the last view; -1 for those that live
     * @param convergenceMicros within so long after the end of the last fault
     * @param missedMembers who was missed by its watchers at any time; null for any
     */
    public record Expectation(int maxViews, int finalMembers, long convergenceMicros, Set<String> missedMembers) {}

    public List<String> members() {
        return List.copyOf(zones.keySet());
    }

    /** Whether more than half of the members end for good, so that the rest has to stand still. */
    public boolean losesQuorum() {
        Set<String> ended = new LinkedHashSet<>();
        faults.stream().filter(one -> one.kind() == Fault.Kind.KILL).forEach(one -> ended.addAll(one.on()));
        return 2 * ended.size() >= zones.size();
    }

    /** When the last fault is over. */
    public long lastFaultEndMicros() {
        return faults.stream().mapToLong(Fault::endMicros).max().orElse(0);
    }

    /**
     * Both at once, in a fleet of this one. What was expected of one alone does not hold for both: they have
     * to come to one view of those that live.
     */
    public Scenario combinedWith(Scenario other) {
        List<Fault> both = new ArrayList<>(faults);
        Set<String> ended = new LinkedHashSet<>();
        faults.stream().filter(one -> one.kind().isMoment()).forEach(one -> ended.addAll(one.on()));
        for (Fault one : other.faults) { // whoever ends by one of them is left alone by the other
            Set<String> on = new LinkedHashSet<>(one.on());
            on.removeAll(one.kind().isMoment() ? ended : Set.of());
            both.add(new Fault(
                    one.kind(),
                    one.beginMicros(),
                    one.durationMicros(),
                    one.from(),
                    one.to(),
                    on,
                    one.share(),
                    one.extraMicros()));
        }
        both.sort(Comparator.comparingLong(Fault::beginMicros));
        return new Scenario(
                zones,
                seedCount,
                Math.max(loadPerSecond, other.loadPerSecond),
                Math.max(runMicros, other.runMicros),
                both,
                new Expectation(
                        -1,
                        -1,
                        Math.max(PAIR_CONVERGED, Math.max(expect.convergenceMicros, other.expect.convergenceMicros)),
                        null));
    }

    /** Complaints name the file and the key. */
    public static Scenario read(Path file, long seed) {
        return read(JsonFile.read(file), seed);
    }

    static Scenario read(JsonFields told, long seed) {
        told.requireKnownKeys(Set.of("members", "zones", "seeds", "load_per_s", "run_s", "faults", "expect"));
        int size = told.integer("members", 0, 1, 2_000);
        Map<String, String> zones = zones(told, size);
        Random random = new Random(seed);
        List<Fault> faults = new ArrayList<>();
        for (JsonFields one : told.objects("faults")) {
            faults.add(fault(one, zones, random));
        }
        faults.sort(Comparator.comparingLong(Fault::beginMicros));
        JsonFields expect = told.object("expect", true);
        expect.requireKnownKeys(Set.of("views_at_most", "final_members", "converged_within_s", "gone"));
        Scenario scenario = new Scenario(
                zones,
                told.integer("seeds", Math.min(3, size), 1, Math.min(32, size)),
                told.number("load_per_s", 0, 0, 10_000),
                seconds(told, "run_s", 60),
                faults,
                new Expectation(
                        expect.integer("views_at_most", -1, -1, 1_000_000),
                        expect.integer("final_members", -1, -1, 2_000),
                        seconds(expect, "converged_within_s", 10),
                        expect.has("gone") ? targets(expect, "gone", zones, random) : null));
        told.throwIfInvalid();
        return scenario;
    }

    private static Map<String, String> zones(JsonFields told, int size) {
        Map<String, String> zones = new LinkedHashMap<>();
        JsonFields sizes = told.object("zones", true);
        for (String zone : sizes.keys()) {
            for (int i = sizes.integer(zone, 0, 1, 2_000); i > 0; i--) {
                zones.put("m" + (zones.size() + 1), zone);
            }
        }
        if (!zones.isEmpty() && zones.size() != size) {
            throw told.invalidValue("zones", "hold " + zones.size() + " members; members says " + size);
        }
        while (zones.size() < size) {
            zones.put("m" + (zones.size() + 1), "");
        }
        return zones;
    }

    private static Fault fault(JsonFields told, Map<String, String> zones, Random random) {
        Fault.Kind kind = told.oneOf("do", Fault.Kind.words());
        told.requireKnownKeys(Set.of("at_s", "for_s", "do", "from", "to", "on", "share", "ms", "period_ms"));
        Set<String> on = targets(told, "on", zones, random);
        if (kind.isOfLinks() ? told.has("on") : !told.has("on") || told.has("from") || told.has("to")) {
            throw told.invalidValue(
                    "do",
                    "is " + kind.name().toLowerCase() + ", which takes " + (kind.isOfLinks() ? "from and to" : "on"));
        }
        long extra = kind == Fault.Kind.FLAP ? told.micros("period_ms", 1_000_000, 1) : told.micros("ms", 100_000, 1);
        return new Fault(
                kind,
                seconds(told, "at_s", 0),
                kind.isMoment() ? 0 : seconds(told, "for_s", 5),
                targets(told, "from", zones, random),
                targets(told, "to", zones, random),
                on,
                told.number("share", kind == Fault.Kind.STARVE ? 0.1 : 0.3, 0, 1),
                extra);
    }

    private static long seconds(JsonFields told, String key, double absent) {
        return Math.round(told.number(key, absent, 0, MOST_SECONDS) * 1e6);
    }

    /** The members that a list of targets means; all where it is absent. */
    private static Set<String> targets(JsonFields told, String key, Map<String, String> zones, Random random) {
        Set<String> chosen = new LinkedHashSet<>();
        if (!told.has(key)) {
            return new LinkedHashSet<>(zones.keySet());
        }
        for (String one : told.textList(key)) {
            if (one.equals("all")) {
                chosen.addAll(zones.keySet());
            } else if (one.startsWith("zone:") && zones.containsValue(one.substring(5))) {
                zones.forEach((member, zone) -> {
                    if (zone.equals(one.substring(5))) {
                        chosen.add(member);
                    }
                });
            } else if (one.matches("share:(0(\\.\\d+)?|1(\\.0+)?)")) {
                List<String> all = new ArrayList<>(zones.keySet());
                Collections.shuffle(all, random);
                chosen.addAll(all.subList(0, (int) Math.round(all.size() * Double.parseDouble(one.substring(6)))));
            } else if (zones.containsKey(one)) {
                chosen.add(one);
            } else {
                throw told.invalidValue(
                        key, "names " + one + "; known are all, zone:X, share:0.25 and the members " + zones.keySet());
            }
        }
        return chosen;
    }
}

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
 * A fleet, its load and the faults injected into it, read from a file with the targets of faults drawn by a seed.
 * Times are microseconds.
 *
 * @param zones the zone of each member, by member name
 * @param seedCount the number of members, counted from the first, that are seeds of the cluster
 * @param loadPerSecond requests per second for all servers together
 */
public record Scenario(
        Map<String, String> zones,
        int seedCount,
        double loadPerSecond,
        long runMicros,
        List<Fault> faults,
        Expectation expect) {
    private static final int MAX_SECONDS = 3_600;
    /** Under two concurrent scenarios a member may leave and rejoin twice, which delays convergence. */
    private static final long COMBINED_CONVERGENCE_MICROS = 60_000_000;

    /**
     * The expected outcome, in addition to the invariants of every run.
     *
     * @param maxViews the maximum number of views since the start of the run; -1 for any
     * @param finalMembers the size of the last view; -1 for the number of running members
     * @param convergenceMicros the maximum time to converge after the end of the last fault
     * @param missedMembers the members missed by their observers at any time; null for any
     */
    public record Expectation(int maxViews, int finalMembers, long convergenceMicros, Set<String> missedMembers) {}

    public List<String> members() {
        return List.copyOf(zones.keySet());
    }

    /** Returns whether at least half of the members are killed, so that the others lose their quorum. */
    public boolean losesQuorum() {
        Set<String> ended = new LinkedHashSet<>();
        faults.stream().filter(fault -> fault.kind() == Fault.Kind.KILL).forEach(fault -> ended.addAll(fault.on()));
        return 2 * ended.size() >= zones.size();
    }

    /** Returns the end of the last fault; 0 without faults. */
    public long lastFaultEndMicros() {
        return faults.stream().mapToLong(Fault::endMicros).max().orElse(0);
    }

    /**
     * Returns a scenario with the faults of both, in the fleet of this one. The expectations of either scenario do
     * not hold for the combination, which only has to converge to one view of the running members.
     */
    public Scenario combinedWith(Scenario other) {
        List<Fault> both = new ArrayList<>(faults);
        Set<String> ended = new LinkedHashSet<>();
        faults.stream().filter(fault -> fault.kind().isInstantaneous()).forEach(fault -> ended.addAll(fault.on()));
        for (Fault added : other.faults) { // a member ended by one scenario is not ended by the other
            Set<String> on = new LinkedHashSet<>(added.on());
            on.removeAll(added.kind().isInstantaneous() ? ended : Set.of());
            both.add(new Fault(
                    added.kind(),
                    added.beginMicros(),
                    added.durationMicros(),
                    added.from(),
                    added.to(),
                    on,
                    added.share(),
                    added.extraMicros()));
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
                        Math.max(
                                COMBINED_CONVERGENCE_MICROS,
                                Math.max(expect.convergenceMicros, other.expect.convergenceMicros)),
                        null));
    }

    /** Reads a scenario file; an exception about an invalid value names the file and the key. */
    public static Scenario read(Path file, long seed) {
        return read(JsonFile.read(file), seed);
    }

    static Scenario read(JsonFields fields, long seed) {
        fields.requireKnownKeys(Set.of("members", "zones", "seeds", "load_per_s", "run_s", "faults", "expect"));
        int size = fields.integer("members", 0, 1, 2_000);
        Map<String, String> zones = zones(fields, size);
        Random random = new Random(seed);
        List<Fault> faults = new ArrayList<>();
        for (JsonFields entry : fields.objects("faults")) {
            faults.add(readFault(entry, zones, random));
        }
        faults.sort(Comparator.comparingLong(Fault::beginMicros));
        JsonFields expect = fields.object("expect", true);
        expect.requireKnownKeys(Set.of("views_at_most", "final_members", "converged_within_s", "gone"));
        Scenario scenario = new Scenario(
                zones,
                fields.integer("seeds", Math.min(3, size), 1, Math.min(32, size)),
                fields.number("load_per_s", 0, 0, 10_000),
                seconds(fields, "run_s", 60),
                faults,
                new Expectation(
                        expect.integer("views_at_most", -1, -1, 1_000_000),
                        expect.integer("final_members", -1, -1, 2_000),
                        seconds(expect, "converged_within_s", 10),
                        expect.has("gone") ? targets(expect, "gone", zones, random) : null));
        fields.throwIfInvalid();
        return scenario;
    }

    private static Map<String, String> zones(JsonFields fields, int size) {
        Map<String, String> zones = new LinkedHashMap<>();
        JsonFields sizes = fields.object("zones", true);
        for (String zone : sizes.keys()) {
            for (int i = sizes.integer(zone, 0, 1, 2_000); i > 0; i--) {
                zones.put("m" + (zones.size() + 1), zone);
            }
        }
        if (!zones.isEmpty() && zones.size() != size) {
            throw fields.invalidValue("zones", "hold " + zones.size() + " members; members says " + size);
        }
        while (zones.size() < size) {
            zones.put("m" + (zones.size() + 1), "");
        }
        return zones;
    }

    private static Fault readFault(JsonFields fields, Map<String, String> zones, Random random) {
        Fault.Kind kind = fields.oneOf("do", Fault.Kind.byName());
        fields.requireKnownKeys(Set.of("at_s", "for_s", "do", "from", "to", "on", "share", "ms", "period_ms"));
        Set<String> on = targets(fields, "on", zones, random);
        if (kind.isLinkFault() ? fields.has("on") : !fields.has("on") || fields.has("from") || fields.has("to")) {
            throw fields.invalidValue(
                    "do",
                    "is " + kind.name().toLowerCase() + ", which takes " + (kind.isLinkFault() ? "from and to" : "on"));
        }
        long extra =
                kind == Fault.Kind.FLAP ? fields.micros("period_ms", 1_000_000, 1) : fields.micros("ms", 100_000, 1);
        return new Fault(
                kind,
                seconds(fields, "at_s", 0),
                kind.isInstantaneous() ? 0 : seconds(fields, "for_s", 5),
                targets(fields, "from", zones, random),
                targets(fields, "to", zones, random),
                on,
                fields.number("share", kind == Fault.Kind.STARVE ? 0.1 : 0.3, 0, 1),
                extra);
    }

    private static long seconds(JsonFields fields, String key, double defaultSeconds) {
        return Math.round(fields.number(key, defaultSeconds, 0, MAX_SECONDS) * 1e6);
    }

    /** Returns the members that a list of targets selects; all members if the key is absent. */
    private static Set<String> targets(JsonFields fields, String key, Map<String, String> zones, Random random) {
        Set<String> chosen = new LinkedHashSet<>();
        if (!fields.has(key)) {
            return new LinkedHashSet<>(zones.keySet());
        }
        for (String target : fields.textList(key)) {
            if (target.equals("all")) {
                chosen.addAll(zones.keySet());
            } else if (target.startsWith("zone:") && zones.containsValue(target.substring(5))) {
                zones.forEach((member, zone) -> {
                    if (zone.equals(target.substring(5))) {
                        chosen.add(member);
                    }
                });
            } else if (target.matches("share:(0(\\.\\d+)?|1(\\.0+)?)")) {
                List<String> members = new ArrayList<>(zones.keySet());
                Collections.shuffle(members, random);
                chosen.addAll(
                        members.subList(0, (int) Math.round(members.size() * Double.parseDouble(target.substring(6)))));
            } else if (zones.containsKey(target)) {
                chosen.add(target);
            } else {
                throw fields.invalidValue(
                        key,
                        "names " + target + "; known are all, zone:X, share:0.25 and the members " + zones.keySet());
            }
        }
        return chosen;
    }
}

package wheatspread.membership;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Flap damping, as BGP has for routes: delays the readmission of servers that repeatedly join and fail, so that a
 * flapping link or a server that crashes at each start does not change the view repeatedly. Each eviction adds a
 * penalty point to the server's name; the points of a name decay with a half-life. A joiner with more than one point
 * must be reachable without a gap for a time before its observers report it reachable; that time grows with the points.
 * An announced departure adds no points.
 */
final class FlapDamping {
    /** The time in which penalty points halve. */
    static final long HALF_LIFE_MICROS = 180_000_000;
    /** The wait of a name with slightly more than one point. */
    static final long BASE_WAIT_MICROS = 10_000_000;
    /** The upper limit of the wait, so that a server that has become stable is readmitted. */
    static final long MAX_WAIT_MICROS = 300_000_000;
    /** Each point beyond the first multiplies the wait by this factor. */
    private static final double WAIT_GROWTH_PER_POINT = 4;
    /** The upper limit of a name's points; the wait has reached its limit below this value. */
    private static final double MAX_POINTS = 12;
    /** A joiner that did not answer for this time must wait again from the start. */
    private static final long MAX_ANSWER_GAP_MICROS = 3_000_000;
    /** The maximum number of entries; evicting the oldest entry costs at most one additional view change. */
    private static final int MAX_ENTRIES = 4_096;

    private static final double DECAY_PER_HALF_LIFE = 0.5;

    private final Map<String, Penalty> penalties = boundedMap();
    private final Map<MemberId, ReachablePeriod> reachablePeriods = boundedMap();

    private record Penalty(double points, long updatedMicros) {
        double decayedPoints(long nowMicros) {
            return points * Math.pow(DECAY_PER_HALF_LIFE, (nowMicros - updatedMicros) / (double) HALF_LIFE_MICROS);
        }
    }

    /** The period in which a joiner has answered probes without a gap. */
    private record ReachablePeriod(long sinceMicros, long lastAnswerMicros) {}

    private static <K, V> Map<K, V> boundedMap() {
        return new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > MAX_ENTRIES;
            }
        };
    }

    /** Records that a view change removed a member with this name that had not announced that it leaves. */
    void recordEviction(String name, long nowMicros) {
        Penalty last = penalties.remove(name);
        double points = 1 + (last == null ? 0 : last.decayedPoints(nowMicros));
        penalties.put(name, new Penalty(Math.min(MAX_POINTS, points), nowMicros));
    }

    /** Returns how long a joiner with this name must be reachable without a gap before it is reported reachable. */
    long requiredReachableMicros(String name, long nowMicros) {
        Penalty penalty = penalties.get(name);
        double excessPoints = penalty == null ? 0 : penalty.decayedPoints(nowMicros) - 1;
        if (excessPoints <= 0) {
            return 0;
        }
        return (long) Math.min(MAX_WAIT_MICROS, BASE_WAIT_MICROS * Math.pow(WAIT_GROWTH_PER_POINT, excessPoints));
    }

    /** Records that a joiner answered a probe; returns whether it may be reported reachable. */
    boolean onJoinerAnswered(MemberId joiner, long nowMicros) {
        ReachablePeriod last = reachablePeriods.remove(joiner);
        boolean hasGap = last == null || nowMicros - last.lastAnswerMicros > MAX_ANSWER_GAP_MICROS;
        long sinceMicros = hasGap ? nowMicros : last.sinceMicros;
        reachablePeriods.put(joiner, new ReachablePeriod(sinceMicros, nowMicros));
        return nowMicros - sinceMicros >= requiredReachableMicros(joiner.name(), nowMicros);
    }

    /** Records that a joiner did not answer a probe, which ends its reachable period. */
    void onJoinerSilent(MemberId joiner) {
        reachablePeriods.remove(joiner);
    }
}

package wheatspread.membership;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Flap damping, as of routes in BGP: keeps servers that come and go outside for a while, so that a flapping link or a
 * server that crashes at each start does not change the view again and again. Each eviction adds a penalty point to
 * the server's name, which decays with a half-life. A joiner with more than one point must be reachable without a gap
 * for a time before its observers vouch for it; that time grows with the points. Servers that leave by themselves get
 * none.
 */
final class FlapDamping {
    /** Time in which penalty points halve. */
    static final long HALF_LIFE_MICROS = 180_000_000;
    /** Wait of a name with just more than one point. */
    static final long BASE_WAIT_MICROS = 10_000_000;
    /** The wait of no name is longer, so that a server that is stable at last comes back. */
    static final long MAX_WAIT_MICROS = 300_000_000;
    /** Each point beyond the first makes the wait so many times as long. */
    private static final double WAIT_GROWTH_PER_POINT = 4;
    /** Points beyond which the wait would not grow any more. */
    private static final double MAX_POINTS = 12;
    /** A joiner that did not answer for this time starts its wait anew. */
    private static final long MAX_ANSWER_GAP_MICROS = 3_000_000;
    /** Names that are remembered; the oldest is forgotten first, which costs no more than a change of the view. */
    private static final int MAX_NAMES = 4_096;

    private static final double DECAY_PER_HALF_LIFE = 0.5;

    private final Map<String, Penalty> penalties = boundedMap();
    private final Map<MemberId, Reachable> reachable = boundedMap();

    private record Penalty(double points, long atMicros) {
        double decayed(long nowMicros) {
            return points * Math.pow(DECAY_PER_HALF_LIFE, (nowMicros - atMicros) / (double) HALF_LIFE_MICROS);
        }
    }

    /** How long a joiner has answered without a gap. */
    private record Reachable(long sinceMicros, long lastMicros) {}

    private static <K, V> Map<K, V> boundedMap() {
        return new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > MAX_NAMES;
            }
        };
    }

    /** A view change removed a member of that name that had not announced that it leaves. */
    void recordEviction(String name, long nowMicros) {
        Penalty last = penalties.remove(name);
        double points = 1 + (last == null ? 0 : last.decayed(nowMicros));
        penalties.put(name, new Penalty(Math.min(MAX_POINTS, points), nowMicros));
    }

    /** How long a joiner of that name has to be reachable without a gap before it is vouched for. */
    long requiredReachableMicros(String name, long nowMicros) {
        Penalty penalty = penalties.get(name);
        double excess = penalty == null ? 0 : penalty.decayed(nowMicros) - 1;
        if (excess <= 0) {
            return 0;
        }
        return (long) Math.min(MAX_WAIT_MICROS, BASE_WAIT_MICROS * Math.pow(WAIT_GROWTH_PER_POINT, excess));
    }

    /** A joiner answered a probe; returns whether it may be vouched for. */
    boolean onJoinerAnswered(MemberId joiner, long nowMicros) {
        Reachable last = reachable.remove(joiner);
        boolean gap = last == null || nowMicros - last.lastMicros > MAX_ANSWER_GAP_MICROS;
        long sinceMicros = gap ? nowMicros : last.sinceMicros;
        reachable.put(joiner, new Reachable(sinceMicros, nowMicros));
        return nowMicros - sinceMicros >= requiredReachableMicros(joiner.name(), nowMicros);
    }

    /** A joiner did not answer a probe. */
    void onJoinerSilent(MemberId joiner) {
        reachable.remove(joiner);
    }
}

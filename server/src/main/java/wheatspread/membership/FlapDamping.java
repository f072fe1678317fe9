package wheatspread.membership;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Keeps those out for a while who come and go, by their names, so that a flapping link or a server that
 * crashes at each start does not change the view again and again. Each time that one was missed counts a
 * point, which halves every three minutes; who has more than one must be heard without a gap before it is
 * vouched for, the longer the more points it has. Who left by itself counts none. It reads no clock; times
 * are microseconds.
 */
final class FlapDamping {
    static final long HALF_LIFE_MICROS = 180_000_000;
    static final long BASE_WAIT_MICROS = 10_000_000;
    static final long MAX_WAIT_MICROS = 300_000_000;
    /** More points change nothing. */
    private static final double MOST_POINTS = 12;
    /** Somebody who was not heard for so long begins anew. */
    private static final long GAP = 3_000_000;

    private static final int MOST_NAMES = 4_096;

    private final Map<String, Points> points = bounded();
    private final Map<MemberId, Heard> onJoinerAnswered = bounded();

    private record Points(double count, long at) {
        double now(long now) {
            return count * Math.pow(0.5, (now - at) / (double) HALF_LIFE_MICROS);
        }
    }

    private record Heard(long since, long last) {}

    /** The eldest are forgotten first: to be forgotten costs a change of the view, no more. */
    private static <K, V> Map<K, V> bounded() {
        return new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > MOST_NAMES;
            }
        };
    }

    /** A change of the view took somebody of that name out who had not said that it goes. */
    void recordEviction(String name, long now) {
        Points old = points.remove(name);
        points.put(name, new Points(Math.min(MOST_POINTS, 1 + (old == null ? 0 : old.now(now))), now));
    }

    /** How long somebody of that name has to be heard without a gap before it is vouched for. */
    long requiredReachableMicros(String name, long now) {
        Points of = points.get(name);
        double more = of == null ? 0 : of.now(now) - 1;
        return more <= 0 ? 0 : (long) Math.min(MAX_WAIT_MICROS, BASE_WAIT_MICROS * Math.pow(4, more));
    }

    /** A joiner was heard; returns whether it may be vouched for. */
    boolean onJoinerAnswered(MemberId joiner, long now) {
        Heard old = onJoinerAnswered.remove(joiner);
        long since = old == null || now - old.last > GAP ? now : old.since;
        onJoinerAnswered.put(joiner, new Heard(since, now));
        return now - since >= requiredReachableMicros(joiner.name(), now);
    }

    /** A joiner was missed. */
    void onJoinerSilent(MemberId joiner) {
        onJoinerAnswered.remove(joiner);
    }
}

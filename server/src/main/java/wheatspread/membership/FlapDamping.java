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
    static final long HALF = 180_000_000;
    static final long FIRST = 10_000_000;
    static final long LONGEST = 300_000_000;
    /** More points change nothing. */
    private static final double MOST_POINTS = 12;
    /** Somebody who was not heard for so long begins anew. */
    private static final long GAP = 3_000_000;

    private static final int MOST_NAMES = 4_096;

    private final Map<String, Points> points = bounded();
    private final Map<MemberId, Heard> heard = bounded();

    private record Points(double count, long at) {
        double now(long now) {
            return count * Math.pow(0.5, (now - at) / (double) HALF);
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
    void missed(String name, long now) {
        Points old = points.remove(name);
        points.put(name, new Points(Math.min(MOST_POINTS, 1 + (old == null ? 0 : old.now(now))), now));
    }

    /** How long somebody of that name has to be heard without a gap before it is vouched for. */
    long wait(String name, long now) {
        Points of = points.get(name);
        double more = of == null ? 0 : of.now(now) - 1;
        return more <= 0 ? 0 : (long) Math.min(LONGEST, FIRST * Math.pow(4, more));
    }

    /** A joiner was heard; returns whether it may be vouched for. */
    boolean heard(MemberId joiner, long now) {
        Heard old = heard.remove(joiner);
        long since = old == null || now - old.last > GAP ? now : old.since;
        heard.put(joiner, new Heard(since, now));
        return now - since >= wait(joiner.name(), now);
    }

    /** A joiner was missed. */
    void silent(MemberId joiner) {
        heard.remove(joiner);
    }
}

package wheatspread.logging;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bounds how often one event is written: so many in a window, after which they are only counted, and the
 * count goes out with the first one of a later window. A peer that makes the same fault a thousand times a
 * second must neither fill the disk nor hide what else happens. It reads no clock; times are microseconds.
 */
public final class RepeatLimit {
    /** Names that are kept; further ones share a place, since a name may be made of what a peer sent. */
    private static final int MOST_NAMES = 256;

    private static final String OTHERS = "";

    private final int most;
    private final long window;
    private final Map<String, Count> counts = new LinkedHashMap<>();

    private static final class Count {
        long since;
        int written;
        long leftOut;
    }

    /** So many events of one name in so many microseconds; 0 events for no bound. */
    public RepeatLimit(int most, long window) {
        this.most = most;
        this.window = window;
    }

    /**
     * Whether an event of this name is to be written now: -1 if not, else how many of its name were left out
     * since the last one that was.
     */
    public long admit(String event, long now) {
        if (most == 0) {
            return 0;
        }
        String name = counts.size() < MOST_NAMES || counts.containsKey(event) ? event : OTHERS;
        Count count = counts.computeIfAbsent(name, key -> new Count());
        if (now - count.since >= window || count.written == 0) {
            count.since = now;
            count.written = 0;
        }
        if (count.written >= most) {
            count.leftOut++;
            return -1;
        }
        count.written++;
        long leftOut = count.leftOut;
        count.leftOut = 0;
        return leftOut;
    }
}

package wheatspread.logging;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A rate limit for each event name: beyond the limit of a window events are only counted, and the count is
 * written with the first event of a later window. A peer that causes the same fault a thousand times a second
 * must neither fill the disk nor hide other events. It reads no clock and is not thread-safe.
 */
public final class RepeatLimit {
    /** How many names have a count of their own; others share one, since peers may influence names. */
    private static final int MAX_NAMES = 256;

    /** The name under which events beyond {@link #MAX_NAMES} are counted. */
    private static final String OTHER_NAMES = "";

    private static final long SUPPRESSED = -1;

    private final int maxEvents;
    private final long windowMicros;
    private final Map<String, Count> counts = new LinkedHashMap<>();

    private static final class Count {
        private long windowStartMicros;
        private int written;
        private long suppressed;
    }

    /** Allows {@code maxEvents} events of one name per window; 0 for no limit. */
    public RepeatLimit(int maxEvents, long windowMicros) {
        this.maxEvents = maxEvents;
        this.windowMicros = windowMicros;
    }

    /**
     * Decides whether an event is written now: returns -1 if not, else how many events of its name have been
     * suppressed since the last one that was written.
     */
    public long admit(String event, long nowMicros) {
        if (maxEvents == 0) {
            return 0;
        }
        String name = counts.size() < MAX_NAMES || counts.containsKey(event) ? event : OTHER_NAMES;
        Count count = counts.computeIfAbsent(name, key -> new Count());
        if (nowMicros - count.windowStartMicros >= windowMicros || count.written == 0) {
            count.windowStartMicros = nowMicros;
            count.written = 0;
        }
        if (count.written >= maxEvents) {
            count.suppressed++;
            return SUPPRESSED;
        }
        count.written++;
        long suppressed = count.suppressed;
        count.suppressed = 0;
        return suppressed;
    }
}

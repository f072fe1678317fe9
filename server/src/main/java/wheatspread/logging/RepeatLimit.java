package wheatspread.logging;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A rate limit for each event name. Events beyond the limit of a window are only counted, and the count is logged with
 * the first event of a later window. Therefore a peer that causes the same fault a thousand times a second neither
 * fills the disk nor hides other events. This class reads no clock and is not thread-safe.
 */
public final class RepeatLimit {
    /**
     * The maximum number of names with a separate count. Further names share a count, since peers may influence names.
     */
    private static final int MAX_NAMES = 256;

    /** The name under which events beyond {@link #MAX_NAMES} are counted. */
    private static final String OTHER_NAMES = "";

    private static final long SUPPRESSED = -1;

    private final int maxEvents;
    private final long windowMicros;
    private final Map<String, Count> counts = new LinkedHashMap<>();

    private static final class Count {
        private long windowStartMicros;
        private int logged;
        private long suppressed;
    }

    /** Allows {@code maxEvents} events of one name per window; 0 for no limit. */
    public RepeatLimit(int maxEvents, long windowMicros) {
        this.maxEvents = maxEvents;
        this.windowMicros = windowMicros;
    }

    /**
     * Decides whether to log an event. Returns -1 if the event is suppressed, and otherwise the number of events with
     * the same name that were suppressed since the last logged event.
     */
    public long admit(String event, long nowMicros) {
        if (maxEvents == 0) {
            return 0;
        }
        String name = counts.size() < MAX_NAMES || counts.containsKey(event) ? event : OTHER_NAMES;
        Count count = counts.computeIfAbsent(name, key -> new Count());
        if (nowMicros - count.windowStartMicros >= windowMicros || count.logged == 0) {
            count.windowStartMicros = nowMicros;
            count.logged = 0;
        }
        if (count.logged >= maxEvents) {
            count.suppressed++;
            return SUPPRESSED;
        }
        count.logged++;
        long suppressed = count.suppressed;
        count.suppressed = 0;
        return suppressed;
    }
}

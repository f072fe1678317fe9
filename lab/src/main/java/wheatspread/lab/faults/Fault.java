package wheatspread.lab.faults;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * One fault between processes, with its targets drawn. Times are microseconds from the begin of the run.
 *
 * @param from whose messages are hit, of faults on links
 * @param to on their way to whom
 * @param on whom it hits, of faults of processes
 * @param share how much of what it hits; of {@code starve} how much time is left to the process
 * @param extraMicros the delay, the longest detour of {@code reorder}, or the period of {@code flap}
 */
public record Fault(
        Kind kind,
        long beginMicros,
        long durationMicros,
        Set<String> from,
        Set<String> to,
        Set<String> on,
        double share,
        long extraMicros) {
    /** What is done. */
    public enum Kind {
        CUT,
        LOSS,
        DELAY,
        DUPLICATE,
        REORDER,
        FLAP,
        PAUSE,
        STARVE,
        KILL,
        RESTART,
        LEAVE,
        GARBAGE;

        /** Whether it hits links rather than processes. */
        public boolean isOfLinks() {
            return compareTo(FLAP) <= 0;
        }

        /** Whether it is a moment and has no end. */
        public boolean isMoment() {
            return this == KILL || this == RESTART || this == LEAVE;
        }

        static Map<String, Kind> words() {
            Map<String, Kind> words = new TreeMap<>();
            for (Kind one : values()) {
                words.put(one.name().toLowerCase(), one);
            }
            return words;
        }
    }

    public long endMicros() {
        return beginMicros + durationMicros;
    }
}

package wheatspread.lab.faults;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * One injected fault, with its targets already drawn. Times are microseconds from the start of the run.
 *
 * @param from for link faults, the senders whose messages are affected
 * @param to for link faults, the receivers of the affected messages
 * @param on for process faults, the affected members
 * @param share the affected share of messages; for {@code starve}, the share of CPU time that the process keeps
 * @param extraMicros the delay, the maximum delay of {@code reorder}, or the period of {@code flap}
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
    /** The kind of fault; its name in lower case is the {@code do} value in scenario files. */
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

        /** Returns whether this kind affects links rather than processes. */
        public boolean isLinkFault() {
            return compareTo(FLAP) <= 0;
        }

        /** Returns whether this kind happens at one time and has no duration. */
        public boolean isInstantaneous() {
            return this == KILL || this == RESTART || this == LEAVE;
        }

        static Map<String, Kind> byName() {
            Map<String, Kind> kinds = new TreeMap<>();
            for (Kind kind : values()) {
                kinds.put(kind.name().toLowerCase(), kind);
            }
            return kinds;
        }
    }

    public long endMicros() {
        return beginMicros + durationMicros;
    }
}

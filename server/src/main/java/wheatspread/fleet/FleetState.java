package wheatspread.fleet;

import java.util.List;
import java.util.Map;

/**
 * What a supervisor writes down before it acts, so that its successor can go on. Times are Unix microseconds.
 *
 * @param roll null where there was none
 */
public record FleetState(List<Of> members, Roll roll, boolean down) {
    /** One member. */
    public record Of(
            String name,
            Member.State state,
            boolean wanted,
            String build,
            int generation,
            long pid,
            long since,
            long startedAt,
            long wellAt,
            List<Long> ends,
            int endsInARow,
            long notBefore,
            long heldUntil) {}

    /** A roll. */
    public record Roll(
            String from,
            String to,
            Rollout.Status status,
            String reason,
            int failures,
            long beganAt,
            long endedAt,
            Map<String, Rollout.Step> steps) {}

    /** A process that was found alive: its number, and the generation that it was started as. */
    public record Found(long pid, int generation) {}
}

package wheatspread.fleet;

import java.util.List;
import java.util.Map;

/**
 * What a supervisor writes down before it acts, so that its successor can go on. Times are Unix microseconds.
 *
 * @param roll null where there was none
 */
public record FleetState(List<Of> members, Roll roll, boolean down) {
    /** What is to be written down of a fleet now; {@code roll} is null where there was none. */
    static FleetState of(InstanceTable roster, RestartBackoff restarts, Rollout roll, boolean down) {
        List<Of> members = roster.all().stream()
                .map(member -> Of.of(member, restarts.of(member.name)))
                .toList();
        return new FleetState(members, roll == null ? null : roll.state(), down);
    }

    /** One member. */
    public record Of(
            String name,
            FleetInstance.State state,
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
            long heldUntil) {

        private static Of of(FleetInstance member, RestartBackoff.Ends ends) {
            return new Of(
                    member.name,
                    member.state,
                    member.wanted,
                    member.build,
                    member.generation,
                    member.pid,
                    member.since,
                    member.startedAt,
                    member.wellAt,
                    List.copyOf(ends.at),
                    ends.inARow,
                    ends.notBefore,
                    ends.heldUntil);
        }
    }

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

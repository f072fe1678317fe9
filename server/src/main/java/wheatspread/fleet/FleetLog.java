package wheatspread.fleet;

import wheatspread.fleet.FleetPlan.Backoff;
import wheatspread.logging.EventLog;
import wheatspread.logging.EventLog.Level;

/** What a fleet logs of its members and its rolls. Times are Unix microseconds. */
final class FleetLog {
    private static final long MICROS_PER_MS = 1_000;

    private final EventLog log;

    FleetLog(EventLog log) {
        this.log = log;
    }

    /** An earlier supervisor's state was taken over; {@code roll} is null where there was none. */
    void restored(int members, int alive, Rollout roll) {
        log.info(
                "fleet_found",
                "members",
                members,
                "alive",
                alive,
                "roll",
                roll == null ? "none" : roll.status().storedName());
    }

    // ---- members ----

    /** A check has changed a member's state. */
    void stateChanged(FleetInstance member, long now) {
        log.info(
                "member",
                "name",
                member.name,
                "state",
                member.state.storedName(),
                "build",
                member.build,
                "generation",
                member.generation,
                "after_ms",
                (now - member.startedAt) / MICROS_PER_MS);
    }

    void starts(FleetInstance member) {
        log.info("member_starts", "name", member.name, "build", member.build, "generation", member.generation);
    }

    /** A start that an earlier supervisor wrote down never showed itself. */
    void startUnseen(FleetInstance member) {
        log.info("start_unseen", "name", member.name, "generation", member.generation);
    }

    void leaves(FleetInstance member) {
        log.info("member_leaves", "name", member.name, "build", member.build, "generation", member.generation);
    }

    void killed(FleetInstance member, String why) {
        log.warn("member_killed", "name", member.name, "generation", member.generation, "why", why);
    }

    /** A process ended; {@code asked} says whether it had got its notice. */
    void ended(FleetInstance member, boolean asked, long now) {
        log.log(
                asked ? Level.INFO : Level.WARN,
                "member_ended",
                "name",
                member.name,
                "build",
                member.build,
                "generation",
                member.generation,
                "code",
                member.lastCode,
                "asked",
                asked,
                "ran_ms",
                (now - member.startedAt) / MICROS_PER_MS);
    }

    /** A member is in a crash loop. */
    void held(FleetInstance member, Backoff backoff) {
        log.error(
                "member_held",
                "name",
                member.name,
                "ends",
                backoff.loopExits(),
                "within_ms",
                backoff.loopWithin() / MICROS_PER_MS);
    }

    // ---- rolls ----

    void rollBegan(String from, String to, int members, int mostOut) {
        log.info("roll_began", "from", from, "to", to, "members", members, "most_out", mostOut);
    }

    /** A roll has come to another status. */
    void rollChanged(Rollout roll) {
        log.log(
                roll.reason().isEmpty() ? Level.INFO : Level.ERROR,
                "roll",
                "to",
                roll.to(),
                "status",
                roll.status().storedName(),
                "reason",
                roll.reason());
    }

    /** A roll waits for members that are out of service, or goes on. */
    void rollPaused(Rollout roll, int out) {
        log.warn(roll.paused() ? "roll_paused" : "roll_goes_on", "to", roll.to(), "out", out);
    }
}

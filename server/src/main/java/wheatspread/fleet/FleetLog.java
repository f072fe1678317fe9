package wheatspread.fleet;

import wheatspread.fleet.FleetPlan.BackoffPolicy;
import wheatspread.logging.EventLog;
import wheatspread.logging.EventLog.Level;

/**
 * Writes the log events of a fleet's instances and rollouts, which {@code docs/operating/log.md} describes for
 * operators. Times are Unix microseconds.
 */
final class FleetLog {
    private static final long MICROS_PER_MILLI = 1_000;

    private final EventLog log;

    FleetLog(EventLog log) {
        this.log = log;
    }

    /** Logs that the state of an earlier supervisor was restored; {@code rollout} is null if there was none. */
    void restored(int instances, int running, Rollout rollout) {
        log.info(
                "fleet_found",
                "members",
                instances,
                "alive",
                running,
                "roll",
                rollout == null ? "none" : rollout.status().storedName());
    }

    // ---- instances ----

    /** Logs that a health check changed the state of an instance. */
    void stateChanged(FleetInstance instance, long nowMicros) {
        log.info(
                "instance",
                "name",
                instance.name,
                "state",
                instance.state.storedName(),
                "build",
                instance.build,
                "generation",
                instance.generation,
                "after_ms",
                (nowMicros - instance.startedAtMicros) / MICROS_PER_MILLI);
    }

    void instanceStarted(FleetInstance instance) {
        log.info(
                "instance_starting", "name", instance.name, "build", instance.build, "generation", instance.generation);
    }

    /** Logs that no process took the lock in time after a start that an earlier supervisor recorded. */
    void startNotConfirmed(FleetInstance instance) {
        log.info("instance_start_lost", "name", instance.name, "generation", instance.generation);
    }

    void drainStarted(FleetInstance instance) {
        log.info(
                "instance_draining", "name", instance.name, "build", instance.build, "generation", instance.generation);
    }

    void instanceKilled(FleetInstance instance, String reason) {
        log.warn("instance_killed", "name", instance.name, "generation", instance.generation, "why", reason);
    }

    /** Logs the exit of a process; {@code expected} tells whether SIGTERM was sent to it before. */
    void processExited(FleetInstance instance, boolean expected, long nowMicros) {
        log.log(
                expected ? Level.INFO : Level.WARN,
                "instance_ended",
                "name",
                instance.name,
                "build",
                instance.build,
                "generation",
                instance.generation,
                "code",
                instance.lastExitCode,
                "asked",
                expected,
                "ran_ms",
                (nowMicros - instance.startedAtMicros) / MICROS_PER_MILLI);
    }

    /** Logs that an instance is held because of a crash loop. */
    void crashLoopDetected(FleetInstance instance, BackoffPolicy backoff) {
        log.error(
                "instance_crash_loop",
                "name",
                instance.name,
                "ends",
                backoff.crashLoopExits(),
                "within_ms",
                backoff.crashLoopWindowMicros() / MICROS_PER_MILLI);
    }

    // ---- rollouts ----

    void rolloutStarted(String fromBuild, String toBuild, int instances, int maxUnavailable) {
        log.info("rollout_started", "from", fromBuild, "to", toBuild, "members", instances, "most_out", maxUnavailable);
    }

    /** Logs the new status of a rollout; a status with a reason is logged as an error. */
    void rolloutStatusChanged(Rollout rollout) {
        log.log(
                rollout.reason().isEmpty() ? Level.INFO : Level.ERROR,
                "rollout",
                "to",
                rollout.toBuild(),
                "status",
                rollout.status().storedName(),
                "reason",
                rollout.reason());
    }

    /** Logs that a rollout was paused because instances are unavailable, or was resumed. */
    void rolloutPaused(Rollout rollout, int unavailable) {
        log.warn(
                rollout.isPaused() ? "rollout_paused" : "rollout_resumed", "to", rollout.toBuild(), "out", unavailable);
    }
}

package wheatspread.fleet;

import wheatspread.fleet.FleetPlan.BackoffPolicy;
import wheatspread.logging.EventLog;
import wheatspread.logging.EventLog.Level;

/**
 * The log events of a fleet's instances and rollouts; {@code docs/operating/log.md} describes them for operators.
 * Times are Unix microseconds.
 */
final class FleetLog {
    private static final long MICROS_PER_MILLI = 1_000;

    private final EventLog log;

    FleetLog(EventLog log) {
        this.log = log;
    }

    /** The state of an earlier supervisor was restored; {@code rollout} is null if there was none. */
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

    /** A health check changed the state of an instance. */
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

    /** A start that an earlier supervisor recorded did not show itself in time. */
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

    /** A process exited; {@code expected} says whether it had been sent SIGTERM. */
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

    /** An instance is held for a crash loop. */
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

    /** The status of a rollout changed. */
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

    /** A rollout waits for unavailable instances, or goes on. */
    void rolloutPaused(Rollout rollout, int unavailable) {
        log.warn(
                rollout.isPaused() ? "rollout_paused" : "rollout_resumed", "to", rollout.toBuild(), "out", unavailable);
    }
}
